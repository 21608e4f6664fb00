package org.sardineshunt.coordination.retry;

/**
 * Limits retries to a share of the first attempts, so that they can't amplify an overload. Not thread-safe.
 *
 * <p>A token bucket: each first attempt adds the retry share as a part of a token, each retry takes one token.
 */
public final class RetryBudget {
    private final double retryShare;
    private final double capacity;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param retryShare retries allowed per first attempt in the long run, from 0 to 1
     * @param capacity maximum number of unused retries that are saved up, at least 1
     * @throws IllegalArgumentException if a value is out of range
     */
    public RetryBudget(double retryShare, double capacity) {
        if (!(retryShare >= 0 && retryShare <= 1) || capacity < 1) {
            throw new IllegalArgumentException("retry share must be from 0 to 1 and capacity 1 or more, got share "
                    + retryShare + ", capacity " + capacity);
        }
        this.retryShare = retryShare;
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Counts a first attempt, which adds the retry share to the budget. */
    public void recordFirstAttempt() {
        tokens = Math.min(capacity, tokens + retryShare);
    }

    /** Takes a retry from the budget. Returns false if none is left. */
    public boolean tryAcquireRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
