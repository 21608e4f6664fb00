package org.sardineshunt.engine.caller;

import java.util.function.DoubleSupplier;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.limit.StopAdmission;
import org.sardineshunt.coordination.route.Route;
import org.sardineshunt.engine.RequestHeaders;
import org.sardineshunt.engine.http.HttpExchange;
import org.sardineshunt.engine.http.HttpRequestData;

/** Decides whether the entry accepts a new request that is authorized. Confined to the control thread. */
final class RequestAdmission {
    // Subtracted from the caller's time, so that the response arrives before the caller stops waiting.
    private static final long ANSWER_MARGIN_MILLIS = 40;

    // A stopped node is back after this time if it is restarted at once.
    private static final long RESTART_MILLIS = 1_500;

    private final RequestHeaders headers;
    private final CrashingRequestDetector crashDetector;
    private final DoubleSupplier random;
    private StopAdmission stopAdmission = StopAdmission.OPEN;

    /**
     * Creates a decision that accepts all requests but those that crash upstreams.
     *
     * @param random supplies numbers from 0 to below 1
     */
    RequestAdmission(RequestHeaders headers, CrashingRequestDetector crashDetector, DoubleSupplier random) {
        this.headers = headers;
        this.crashDetector = crashDetector;
        this.random = random;
    }

    /** Accepts only requests that the given decision allows, because the process is stopping. */
    void limitForStop(StopAdmission admission) {
        stopAdmission = admission;
    }

    /** Returns the ID that the caller gave a request; empty if it gave none. */
    String requestId(HttpRequestData request) {
        return request.header(headers.requestId()).orElse("");
    }

    /** Returns the accepted request (right), or why it is refused (left). */
    Either<Refusal, AdmittedRequest> decide(long nowMillis, HttpExchange exchange, AuthorizedRequest authorized) {
        Route route = authorized.route();
        HttpRequestData request = exchange.request();
        String requestId = requestId(request);
        long fingerprint = AttemptFactory.fingerprint(request);
        if (crashDetector.mustRefuse(nowMillis, String.valueOf(fingerprint))) {
            return Either.left(new Refusal(Reason.CRASHING_REQUEST, 0, Long.toHexString(fingerprint)));
        }
        String service = route.selectService(random.getAsDouble());
        long deadlineMillis = nowMillis - exchange.millisSinceReceived() + timeLeftMillis(request, route);
        if (!stopAdmission.takes(nowMillis, deadlineMillis)) {
            return Either.left(new Refusal(
                    Reason.SHUTTING_DOWN,
                    stopAdmission.millisUntilEnd(nowMillis) + RESTART_MILLIS,
                    "the node stops before the response"));
        }
        return Either.right(new AdmittedRequest(
                exchange,
                requestId,
                route,
                service,
                authorized.configuration().version(),
                authorized.requestAccount(),
                authorized.rank(),
                authorized.parent().isPresent(),
                fingerprint,
                nowMillis,
                deadlineMillis));
    }

    // The caller's time less the margin, at most the route's timeout; a malformed header counts as missing.
    private long timeLeftMillis(HttpRequestData request, Route route) {
        long callerLeftMillis =
                CallerRules.timeLeftMillis(headers, request).orElse(route.timeoutMillis() + ANSWER_MARGIN_MILLIS);
        return Math.max(1, Math.min(callerLeftMillis - ANSWER_MARGIN_MILLIS, route.timeoutMillis()));
    }

    /**
     * Why a request is refused. It has not run and never will.
     *
     * @param reason determines the status of the response
     * @param retryAfterMillis time after which the caller may come back; 0 for none
     * @param detail explanation for the log
     */
    record Refusal(Reason reason, long retryAfterMillis, String detail) {}
}
