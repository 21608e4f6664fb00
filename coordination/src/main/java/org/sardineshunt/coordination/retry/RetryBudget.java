package org.sardineshunt.coordination.retry;

/**
 * Bounds retries to a share of the first attempts, so that they can't amplify an overload. Not thread-safe.
 */
public final class RetryBudget {
    private final double retryShare;
    private final double capacity;
    private double tokens;

    /**
     * Creates a budget.
     *
     * @param retryShare retries per first attempt in the long run, between 0 and 1
     * @param capacity retries that may be saved up, at least 1
     */
    public RetryBudget(double retryShare, double capacity) {
        if (!(retryShare >= 0 && retryShare <= 1) || capacity < 1) {
            throw new IllegalArgumentException("retry share " + retryShare + ", capacity " + capacity);
        }
        this.retryShare = retryShare;
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Counts a first attempt. */
    public void recordFirstAttempt() {
        tokens = Math.min(capacity, tokens + retryShare);
    }

    /** Returns whether a retry may be made, and takes it from the budget if so. */
    public boolean tryAcquireRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
