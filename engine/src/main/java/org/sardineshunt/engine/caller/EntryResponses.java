package org.sardineshunt.engine.caller;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.engine.BodyBytes;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpResponseData;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;

/** Builds the responses that callers receive. Immutable and thread-safe. */
final class EntryResponses {
    private final String requestIdHeader;

    EntryResponses(String requestIdHeader) {
        this.requestIdHeader = requestIdHeader;
    }

    /**
     * Returns a response of this node's own.
     *
     * @param retryAfterMillis time after which the caller may come back; 0 for none
     */
    HttpResponseData error(String requestId, int status, long retryAfterMillis) {
        Stream<HttpHeader> retryAfter = retryAfterMillis > 0
                ? Stream.of(
                        new HttpHeader("Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterMillis / 1_000.0)))
                : Stream.empty();
        List<HttpHeader> headers = Stream.concat(Stream.of(new HttpHeader(requestIdHeader, requestId)), retryAfter)
                .toList();
        return new HttpResponseData(status, headers, new byte[0]);
    }

    /** Returns the response of an upstream, unchanged. */
    static HttpResponseData fromUpstream(Answer answer) {
        List<HttpHeader> headers = answer.getHeadersList().stream()
                .map(header -> new HttpHeader(header.getName(), header.getValue()))
                .toList();
        return new HttpResponseData(answer.getStatus(), headers, BodyBytes.fromField(answer.getBody()));
    }

    /** Returns whether an upstream ran the request and its response is no server error. */
    static boolean isSuccess(Answer answer) {
        return answer.getVerdict() == Verdict.RAN.ordinal() && Reason.ofPeerLabel(answer.getReason()) == Reason.NONE;
    }
}
