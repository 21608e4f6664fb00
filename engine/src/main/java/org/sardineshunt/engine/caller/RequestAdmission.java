package org.sardineshunt.engine.caller;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.limit.StopAdmission;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.coordination.route.Route;
import org.sardineshunt.engine.RequestHeaders;
import org.sardineshunt.engine.http.HttpExchange;
import org.sardineshunt.engine.http.HttpRequestData;

/** Decides whether the entry accepts a new request. Confined to the control thread. */
final class RequestAdmission {
    // Subtracted from the caller's time, so that the response arrives before the caller stops waiting.
    private static final long ANSWER_MARGIN_MILLIS = 40;

    private static final long NOT_READY_RETRY_AFTER_MILLIS = 500;

    // A stopped node is back after this time if it is restarted at once.
    private static final long RESTART_MILLIS = 1_500;

    private final RequestHeaders headers;
    private final CrashingRequestDetector crashDetector;
    private final Supplier<Optional<FleetConfiguration>> configuration;
    private final Function<String, OptionalInt> rankOfRunningRequest;
    private final DoubleSupplier random;
    private StopAdmission stopAdmission = StopAdmission.OPEN;

    /**
     * Creates a decision that accepts requests as soon as there is a configuration.
     *
     * @param configuration supplies the configuration in force; empty before the first one was received
     * @param rankOfRunningRequest returns the rank of a request that the local upstream is running, given its ID; empty
     *     if it isn't running that request
     * @param random supplies numbers from 0 to below 1
     */
    RequestAdmission(
            RequestHeaders headers,
            CrashingRequestDetector crashDetector,
            Supplier<Optional<FleetConfiguration>> configuration,
            Function<String, OptionalInt> rankOfRunningRequest,
            DoubleSupplier random) {
        this.headers = headers;
        this.crashDetector = crashDetector;
        this.configuration = configuration;
        this.rankOfRunningRequest = rankOfRunningRequest;
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
    Either<Refusal, AdmittedRequest> decide(long nowMillis, HttpExchange exchange) {
        Optional<FleetConfiguration> current = configuration.get();
        if (current.isEmpty()) {
            return Either.left(
                    new Refusal(Reason.NOT_READY, NOT_READY_RETRY_AFTER_MILLIS, "no configuration has been received"));
        }
        long version = current.get().version();
        HttpRequestData request = exchange.request();
        return current.get()
                .match(request.header("host").orElse(""), request.path())
                .map(route -> decide(nowMillis, exchange, route, version))
                .orElseGet(() -> Either.left(
                        new Refusal(Reason.NO_ROUTE, 0, "no route found in configuration version " + version)));
    }

    private Either<Refusal, AdmittedRequest> decide(long nowMillis, HttpExchange exchange, Route route, long version) {
        HttpRequestData request = exchange.request();
        String requestId = requestId(request);
        long fingerprint = AttemptFactory.fingerprint(request);
        if (crashDetector.mustRefuse(nowMillis, String.valueOf(fingerprint))) {
            return Either.left(new Refusal(Reason.CRASHING_REQUEST, 0, Long.toHexString(fingerprint)));
        }
        String service = route.selectService(random.getAsDouble());
        // A request that makes a call holds a slot until the call is answered, so the call has the rank of that
        // request.
        OptionalInt rankOfCaller =
                headers.parentRequestId(requestId).map(rankOfRunningRequest).orElse(OptionalInt.empty());
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
                version,
                rankOfCaller.orElse(route.rank()),
                rankOfCaller.isPresent(),
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
