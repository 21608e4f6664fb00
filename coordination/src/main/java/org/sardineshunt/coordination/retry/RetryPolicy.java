package org.sardineshunt.coordination.retry;

import java.util.Set;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;

/**
 * Decides whether a failed attempt is retried. Immutable and thread-safe.
 *
 * @param maximumAttempts maximum number of attempts of one request, at least 1
 * @param minimumTimeLeftMillis minimum time left until the deadline for a further attempt
 */
public record RetryPolicy(int maximumAttempts, long minimumTimeLeftMillis) {
    /** Reasons after which a further attempt would fail again, or could crash another upstream. */
    private static final Set<Reason> NEVER_RETRIED = Set.of(
            Reason.MALFORMED_REQUEST,
            Reason.CRASHING_REQUEST,
            Reason.DEADLINE_PASSED,
            Reason.KEY_REUSED,
            Reason.ANSWER_TOO_LARGE);

    /**
     * Returns the number of the next attempt (right), or the reason to stop (left).
     *
     * @param failedAttempt the failed attempt
     * @param idempotent whether running the request twice is harmless
     * @param timeLeftMillis time until the request's deadline
     * @param budget retry budget, charged only if the attempt is retried
     */
    public Either<Reason, Integer> nextAttempt(
            FailedAttempt failedAttempt, boolean idempotent, long timeLeftMillis, RetryBudget budget) {
        if (!failedAttempt.verdict().allowsRetry(idempotent) || NEVER_RETRIED.contains(failedAttempt.reason())) {
            return Either.left(failedAttempt.reason());
        }
        if (failedAttempt.attempt() >= maximumAttempts || timeLeftMillis < minimumTimeLeftMillis) {
            return Either.left(failedAttempt.reason());
        }
        return budget.tryAcquireRetry() ? Either.right(failedAttempt.attempt() + 1) : Either.left(Reason.RETRY_BUDGET);
    }

    /**
     * A failed attempt.
     *
     * @param attempt number of the attempt, from 1
     * @param verdict whether the attempt may have run
     * @param reason why the attempt failed
     */
    public record FailedAttempt(int attempt, Verdict verdict, Reason reason) {}
}
