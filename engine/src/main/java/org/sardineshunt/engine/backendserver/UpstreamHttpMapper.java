package org.sardineshunt.engine.backendserver;

import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.engine.BodyBytes;
import org.sardineshunt.engine.RequestHeaders;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpOutcome;
import org.sardineshunt.engine.http.HttpOutcome.Failed;
import org.sardineshunt.engine.http.HttpOutcome.Responded;
import org.sardineshunt.engine.http.HttpRequestData;
import org.sardineshunt.engine.http.HttpResponseData;
import org.sardineshunt.engine.peer.AnswerValidator;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.Header;

/** Maps attempts to HTTP requests to the upstream and their HTTP outcomes to answers. Immutable and thread-safe. */
final class UpstreamHttpMapper {
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int GATEWAY_TIMEOUT = 504;

    // Callers take these statuses as a promise that the request has not run. Only a marked response gives it.
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 429, 503);

    private final RequestHeaders headers;
    private final BooleanSupplier accountsConfigured;

    /**
     * Creates a mapper.
     *
     * @param accountsConfigured supplies whether there are client accounts
     */
    UpstreamHttpMapper(RequestHeaders headers, BooleanSupplier accountsConfigured) {
        this.headers = headers;
        this.accountsConfigured = accountsConfigured;
    }

    /**
     * Returns the HTTP request for an attempt.
     *
     * @param upstreamId id of the upstream start that must run it; any other refuses it
     * @param leftMillis time that the upstream has for its response
     */
    HttpRequestData toRequest(Attempt attempt, String upstreamId, long leftMillis) {
        Stream<HttpHeader> forwarded = attempt.getHeadersList().stream()
                .map(header -> new HttpHeader(header.getName(), header.getValue()))
                .filter(header -> attempt.getConfigurationVersion() > 0 || !isOfAccount(header));
        List<HttpHeader> requestHeaders = Stream.concat(
                        forwarded,
                        Stream.of(
                                new HttpHeader(headers.timeLeft(), String.valueOf(leftMillis)),
                                new HttpHeader(headers.expectedUpstream(), upstreamId),
                                new HttpHeader(headers.callerService(), attempt.getCallerService())))
                .toList();
        return new HttpRequestData(
                attempt.getMethod(), attempt.getTarget(), requestHeaders, BodyBytes.fromField(attempt.getBody()));
    }

    /** Returns the answer to an attempt whose request had this outcome. */
    Answer.Builder toAnswer(Attempt attempt, HttpOutcome outcome) {
        if (outcome instanceof Responded responded) {
            return toAnswer(attempt, responded.response());
        }
        Failed failed = (Failed) outcome;
        boolean notSent = failed.stage() == HttpOutcome.Stage.NOT_SENT;
        Reason reason =
                switch (failed.kind()) {
                    case CONNECT -> Reason.BACKEND_SERVER_REFUSED;
                    case CLOSED -> Reason.BACKEND_SERVER_FAILED;
                    case TIMEOUT -> Reason.DEADLINE_PASSED;
                    case MALFORMED -> Reason.ANSWER_CROSSED;
                    case TOO_LARGE -> Reason.ANSWER_TOO_LARGE;
                    case MEMORY_SHORT -> Reason.MEMORY_SHORT;
                    case INVALID_REQUEST -> Reason.MALFORMED_REQUEST;
                    case CANCELLED -> Reason.ABANDONED;
                };
        return failureAnswer(notSent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN, reason, !notSent);
    }

    /** Returns whether the response states that another upstream or another start of it has the address now. */
    boolean isMisdirected(Attempt attempt, HttpOutcome outcome) {
        return outcome instanceof Responded responded
                && responded.response().status() == MISDIRECTED_REQUEST
                && belongsTo(attempt, responded.response());
    }

    /** Returns whether the upstream stopped running a request because its time had run out. */
    static boolean isDeadlinePassed(HttpOutcome outcome) {
        return outcome instanceof Responded responded && responded.response().status() == GATEWAY_TIMEOUT;
    }

    /**
     * Returns an answer without an HTTP response.
     *
     * @param offered whether the upstream was offered the request, so that another attempt counts as a retry
     */
    static Answer.Builder failureAnswer(Verdict verdict, Reason reason, boolean offered) {
        return Answer.newBuilder()
                .setVerdict(verdict.ordinal())
                .setReason(reason.label())
                .setOffered(offered);
    }

    // An entry of the previous build passes on the headers of the caller, so this home removes those of accounts.
    private boolean isOfAccount(HttpHeader header) {
        return header.name().equalsIgnoreCase(headers.accountName())
                || accountsConfigured.getAsBoolean() && header.name().equalsIgnoreCase(headers.accountKey());
    }

    /** Returns the answer about an attempt whose outcome this home doesn't know. */
    static Answer unknownOutcome() {
        return failureAnswer(Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, true).build();
    }

    // A refusal without the ID of the request may be that of an earlier request, while the upstream runs this one.
    private boolean belongsTo(Attempt attempt, HttpResponseData response) {
        return !attempt.getRequestId().isEmpty()
                && response.header(headers.requestId())
                        .filter(attempt.getRequestId()::equals)
                        .isPresent();
    }

    private Answer.Builder toAnswer(Attempt attempt, HttpResponseData response) {
        boolean marked = response.header(headers.notRun()).isPresent();
        if (marked || response.status() == MISDIRECTED_REQUEST) {
            Reason reason = marked ? Reason.BACKEND_SERVER_SHED : Reason.BACKEND_SERVER_REFUSED;
            return belongsTo(attempt, response)
                    ? failureAnswer(Verdict.NOT_RUN, reason, true)
                    : failureAnswer(Verdict.MAY_HAVE_RUN, Reason.ANSWER_CROSSED, true);
        }
        if (NOT_RUN_STATUSES.contains(response.status())) {
            return failureAnswer(Verdict.MAY_HAVE_RUN, Reason.SERVER_ERROR, true);
        }
        boolean success = response.status() / 100 == 2;
        // An unsigned success does not come from the upstream, and the request may have run there all the same.
        if (success && response.header(headers.signature()).isEmpty()
                || response.header("content-encoding").isPresent()) {
            return failureAnswer(Verdict.MAY_HAVE_RUN, Reason.ANSWER_CROSSED, true);
        }
        List<Header> forwarded = HttpHeader.endToEnd(response.headers()).stream()
                .map(header -> Header.newBuilder()
                        .setName(header.name())
                        .setValue(header.value())
                        .build())
                .toList();
        Answer.Builder answer = Answer.newBuilder()
                .setVerdict(Verdict.RAN.ordinal())
                .setReason(response.status() >= 500 ? Reason.SERVER_ERROR.label() : Reason.NONE.label())
                .setStatus(response.status())
                .addAllHeaders(forwarded)
                .setBody(BodyBytes.toField(response.body()))
                .setOffered(true);
        // Another node would take an invalid answer for a fault of the link.
        return AnswerValidator.findFault(answer).isPresent()
                ? failureAnswer(Verdict.MAY_HAVE_RUN, Reason.ANSWER_CROSSED, true)
                : answer;
    }
}
