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
    private static final Set<Reason> FINAL = Set.of(
            Reason.MALFORMED_REQUEST,
            Reason.CRASHING_REQUEST,
            Reason.DEADLINE_PASSED,
            Reason.KEY_REUSED,
            Reason.ANSWER_TOO_LARGE);

    /**
     * Returns the reason to stop, or the number of the next attempt.
     *
     * @param failure the failed attempt
     * @param idempotent whether running the request twice is harmless
     * @param leftMillis time until the request's deadline
     * @param budget budget of the service; charged only when the answer is to retry
     */
    public Either<Reason, Integer> nextAttempt(
            FailedAttempt failure, boolean idempotent, long leftMillis, RetryBudget budget) {
        if (!failure.verdict().allowsRetry(idempotent) || FINAL.contains(failure.reason())) {
            return Either.left(failure.reason());
        }
        if (failure.attempt() >= maximumAttempts || leftMillis < minimumTimeLeftMillis) {
            return Either.left(failure.reason());
        }
        return budget.tryAcquireRetry() ? Either.right(failure.attempt() + 1) : Either.left(Reason.RETRY_BUDGET);
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
