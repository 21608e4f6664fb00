package org.sardineshunt.coordination.retry;

import java.util.Set;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;

/**
 * Decides whether a failed attempt is repeated. Immutable and thread-safe.
 *
 * @param maximumAttempts most attempts of one request, at least 1
 * @param minimumTimeLeftMillis time left below which no further attempt is made
 */
public record RetryPolicy(int maximumAttempts, long minimumTimeLeftMillis) {
    private static final Set<Reason> NEVER_RETRIED = Set.of(
            Reason.MALFORMED_REQUEST,
            Reason.CRASHING_REQUEST,
            Reason.DEADLINE_PASSED,
            Reason.KEY_REUSED,
            Reason.ANSWER_TOO_LARGE);

    /**
     * Returns the reason to stop, or the number of the next attempt.
     *
     * @param failedAttempt the failed attempt
     * @param idempotent whether running the request twice is harmless
     * @param timeLeftMillis time until the request's deadline
     * @param budget budget of the service; charged only when the answer is to retry
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
     * @param attempt its number, from 1
     * @param verdict whether it may have run
     * @param reason why it failed
     */
    public record FailedAttempt(int attempt, Verdict verdict, Reason reason) {}
}
