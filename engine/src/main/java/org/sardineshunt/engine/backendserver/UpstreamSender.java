package org.sardineshunt.engine.backendserver;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.engine.EngineContext;
import org.sardineshunt.engine.http.CallStreams;
import org.sardineshunt.engine.http.HttpClient;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpOutcome;
import org.sardineshunt.engine.http.HttpResponseData;
import org.sardineshunt.engine.http.StreamedResponse;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;

/** Sends attempts to the upstream, with their streamed bodies. Confined to the control thread. */
final class UpstreamSender {
    private static final long MAXIMUM_IDLE_MILLIS = 4_000;

    // The upstream has less time than the HTTP call, so that its timeout response arrives before the call times out.
    private static final long UPSTREAM_MARGIN_MILLIS = 15;

    private final EngineContext context;
    private final HttpClient client;
    private final UpstreamHttpMapper mapper;

    UpstreamSender(EngineContext context, HttpClient client, UpstreamHttpMapper mapper) {
        this.context = context;
        this.client = client;
        this.mapper = mapper;
    }

    /**
     * Sends an attempt.
     *
     * @param upstreamId id of the upstream start that must run it
     * @param onOutcome receives the outcome on the control thread
     */
    HttpClient.Call send(PendingAttempt pending, String upstreamId, long leftMillis, Consumer<HttpOutcome> onOutcome) {
        Attempt attempt = pending.attempt();
        InetSocketAddress address = context.settings().upstreamAddress();
        CallStreams streams = new CallStreams(
                pending.streams().requestBody(), head -> acceptsStreamed(pending, head), response -> context.control()
                        .execute(() -> passOn(pending, response)));
        return client.send(
                address,
                mapper.toRequest(attempt, upstreamId, Math.max(1, leftMillis - UPSTREAM_MARGIN_MILLIS)),
                new HttpClient.Options(leftMillis, MAXIMUM_IDLE_MILLIS),
                streams,
                outcome -> context.control().execute(() -> onOutcome.accept(outcome)));
    }

    // A response that its entry may not pass on as it is must be known completely first.
    private boolean acceptsStreamed(PendingAttempt pending, HttpResponseData head) {
        if (pending.streams().onResponse().isEmpty()) {
            return false;
        }
        Answer.Builder answer = mapper.toAnswer(pending.attempt(), new HttpOutcome.Responded(head));
        return answer.getVerdict() == Verdict.RAN.ordinal()
                && answer.getReason().equals(Reason.NONE.label());
    }

    private void passOn(PendingAttempt pending, StreamedResponse response) {
        context.metrics().count("streamed_bodies", "response");
        List<HttpHeader> headers = HttpHeader.endToEnd(response.headers());
        pending.streams()
                .onResponse()
                .orElseThrow()
                .accept(new StreamedResponse(response.status(), headers, response.body()));
    }
}
