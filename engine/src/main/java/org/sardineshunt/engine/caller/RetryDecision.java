package org.sardineshunt.engine.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.placement.HomeView;
import org.sardineshunt.coordination.retry.RetryBudget;
import org.sardineshunt.engine.http.HttpResponseData;

/**
 * Decides whether a request may have a further attempt, and what its caller receives if it may not. Confined to the
 * control thread.
 */
final class RetryDecision {
    // With less time left until the deadline, no attempt is sent.
    private static final long MINIMUM_LEFT_MILLIS = 20;

    // Homes that refuse for lack of time mostly do so because all are full; of the requests that were tried more often,
    // few were served.
    private static final int MAXIMUM_FAILED_ATTEMPTS = 5;
    private static final double RETRY_BUDGET_CAPACITY = 3;
    private static final long NO_UPSTREAM_RETRY_AFTER_MILLIS = 700;
    private static final long MEMORY_RETRY_AFTER_MILLIS = 500;
    private static final long MINIMUM_RETRY_AFTER_MILLIS = 200;

    private final CrashingRequestDetector crashDetector;
    private final EntryResponses responses;
    private final double retryShare;
    private final DoubleSupplier random;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

    /**
     * Creates a decision with a full retry budget for each service.
     *
     * @param retryShare retries allowed per request in the long run, from 0 to 1
     * @param random supplies numbers from 0 to below 1
     */
    RetryDecision(
            CrashingRequestDetector crashDetector, EntryResponses responses, double retryShare, DoubleSupplier random) {
        this.crashDetector = crashDetector;
        this.responses = responses;
        this.retryShare = retryShare;
        this.random = random;
    }

    /** Counts a new request, which adds to the retry budget of its service. */
    void recordRequest(AdmittedRequest request) {
        retryBudget(request).recordFirstAttempt();
    }

    /** Returns whether an attempt can still be answered within the time left until the deadline. */
    boolean hasTimeForAttempt(long leftMillis) {
        return leftMillis >= MINIMUM_LEFT_MILLIS;
    }

    /** Returns whether so many attempts have failed that none is sent any more, whatever their reasons. */
    boolean hasTooManyFailures(PendingRequest pending) {
        return pending.failedAttempts() > MAXIMUM_FAILED_ATTEMPTS;
    }

    /**
     * Returns why a request must not be retried; empty if it may be, and then takes a retry from the budget. An attempt
     * that wasn't offered to an upstream is repeated elsewhere without counting as a retry.
     *
     * @param failure failure of an attempt, which the state of the request includes already
     */
    Optional<String> objection(long nowMillis, PendingRequest pending, PendingRequest.Failure failure) {
        AdmittedRequest request = pending.request();
        if (pending.hasResponseStarted()) {
            return Optional.of("response-sent");
        }
        if (pending.hasSentBody() || pending.hasFailedBody()) {
            return Optional.of("body-sent");
        }
        if (!failure.offered()) {
            return Optional.empty();
        }
        if (failure.verdict() != Verdict.NOT_RUN && !request.route().idempotent()) {
            return Optional.of("not-idempotent");
        }
        if (pending.offeredAttempts() >= request.route().maximumAttempts()) {
            return Optional.of("attempts-used");
        }
        if (request.deadlineMillis() - nowMillis <= MINIMUM_LEFT_MILLIS) {
            return Optional.of("no-time-left");
        }
        if (isSuspect(nowMillis, request)) {
            return Optional.of("suspect");
        }
        return tryAcquireRetry(request) ? Optional.empty() : Optional.of("retry-budget");
    }

    /** Returns whether a request may have crashed an upstream. */
    boolean isSuspect(long nowMillis, AdmittedRequest request) {
        return crashDetector.isSuspect(nowMillis, String.valueOf(request.fingerprint()));
    }

    /** Takes a retry from the budget of a request's service. Returns false if none is left. */
    boolean tryAcquireRetry(AdmittedRequest request) {
        return retryBudget(request).tryAcquireRetry();
    }

    /**
     * Returns how a request ends that gets no further attempt.
     *
     * @param homes supplies the homes of the request's service, whose expected waits determine {@code Retry-After}
     */
    Outcome giveUp(PendingRequest pending, Supplier<List<HomeView>> homes) {
        String requestId = pending.request().requestId();
        return errorOutcome(pending).orElseGet(() -> {
            // An attempt in flight may still run.
            if (pending.verdictSoFar() == Verdict.NOT_RUN
                    && pending.attemptsInFlight().isEmpty()) {
                HttpResponseData response = responses.error(requestId, 503, retryAfterMillis(pending, homes));
                return new Outcome(Verdict.NOT_RUN, pending.lastReason(), response);
            }
            // The home's timer of the same deadline may fire before that of this node.
            int status = pending.lastReason() == Reason.DEADLINE_PASSED ? 504 : 502;
            return new Outcome(Verdict.MAY_HAVE_RUN, pending.lastReason(), responses.error(requestId, status, 0));
        });
    }

    /** Returns how a request ends whose deadline has passed. */
    Outcome timeOut(PendingRequest pending) {
        Verdict verdict = pending.sentAttempts() == 0 ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        return errorOutcome(pending)
                .orElseGet(() -> new Outcome(
                        verdict,
                        Reason.DEADLINE_PASSED,
                        responses.error(pending.request().requestId(), 504, 0)));
    }

    /** Returns how a request ends whose memory is needed for others. */
    Outcome evict(PendingRequest pending) {
        HttpResponseData notRun = responses.error(pending.request().requestId(), 503, MEMORY_RETRY_AFTER_MILLIS);
        return endEarly(pending, Reason.MEMORY_SHORT, notRun);
    }

    /** Returns how a request ends whose streamed body will never be complete. */
    Outcome failBody(PendingRequest pending) {
        HttpResponseData notRun = responses.error(pending.request().requestId(), 408, 0);
        return endEarly(pending, Reason.BODY_INCOMPLETE, notRun);
    }

    private Outcome endEarly(PendingRequest pending, Reason reason, HttpResponseData notRun) {
        boolean neverRuns = pending.verdictSoFar() == Verdict.NOT_RUN
                && pending.attemptsInFlight().isEmpty();
        return neverRuns
                ? new Outcome(Verdict.NOT_RUN, reason, notRun)
                : new Outcome(
                        Verdict.MAY_HAVE_RUN,
                        reason,
                        responses.error(pending.request().requestId(), 502, 0));
    }

    private static Optional<Outcome> errorOutcome(PendingRequest pending) {
        return pending.errorAnswer()
                .map(answer -> new Outcome(Verdict.RAN, Reason.SERVER_ERROR, EntryResponses.fromUpstream(answer)));
    }

    private long retryAfterMillis(PendingRequest pending, Supplier<List<HomeView>> homes) {
        if (pending.lastReason() == Reason.NO_UPSTREAM) {
            return NO_UPSTREAM_RETRY_AFTER_MILLIS;
        }
        double shortestWaitMillis = homes.get().stream()
                .mapToDouble(HomeView::expectedWaitMillis)
                .min()
                .orElse(NO_UPSTREAM_RETRY_AFTER_MILLIS);
        // Varied by up to a quarter, so that refused callers don't all return at the same time.
        double jitterFactor = 0.75 + random.getAsDouble() / 2;
        return (long) (Math.max(MINIMUM_RETRY_AFTER_MILLIS, shortestWaitMillis) * jitterFactor);
    }

    private RetryBudget retryBudget(AdmittedRequest request) {
        return retryBudgets.computeIfAbsent(
                request.service(), service -> new RetryBudget(retryShare, RETRY_BUDGET_CAPACITY));
    }

    /**
     * How a request ends.
     *
     * @param verdict whether it may have run
     * @param response what the caller receives
     */
    record Outcome(Verdict verdict, Reason reason, HttpResponseData response) {}
}
