package org.sardineshunt.coordination.retry;

/**
 * Bounds retries to a share of the first attempts, so that they can't amplify an overload. Not thread-safe.
 */
public final class RetryBudget {
    private final double share;
    private final double reserve;
    private double balance;

    /**
     * Creates a budget.
     *
     * @param share retries per first attempt in the long run, between 0 and 1
     * @param reserve retries that may be saved up, at least 1
     */
    public RetryBudget(double share, double reserve) {
        if (!(share >= 0 && share <= 1) || reserve < 1) {
            throw new IllegalArgumentException("retry share " + share + ", reserve " + reserve);
        }
        this.share = share;
        this.reserve = reserve;
        this.balance = reserve;
    }

    /** Counts a first attempt. */
    public void recordFirstAttempt() {
        balance = Math.min(reserve, balance + share);
    }

    /** Returns whether a retry may be made, and takes it from the budget if so. */
    public boolean tryAcquireRetry() {
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
