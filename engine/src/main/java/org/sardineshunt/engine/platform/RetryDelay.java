package org.sardineshunt.engine.platform;

import java.util.Random;

/** Delays before calls that repeat a failed one. They double with each failure and vary by half. Not thread-safe. */
final class RetryDelay {
    private static final long FIRST_MILLIS = 150;
    private static final long MAXIMUM_MILLIS = 1_000;

    private final Random random;
    private long millis = FIRST_MILLIS;

    RetryDelay(Random random) {
        this.random = random;
    }

    /** Returns the delay after a further failure. */
    long nextMillis() {
        long next = vary(millis);
        millis = Math.min(MAXIMUM_MILLIS, 2 * millis);
        return next;
    }

    /** Returns a delay like that after the first failure. */
    long shortestMillis() {
        return vary(FIRST_MILLIS);
    }

    /** Returns a delay like that after many failures. */
    long longestMillis() {
        return vary(MAXIMUM_MILLIS);
    }

    /** Starts again with the delay after the first failure. */
    void reset() {
        millis = FIRST_MILLIS;
    }

    private long vary(long meanMillis) {
        return meanMillis / 2 + (long) (random.nextDouble() * meanMillis);
    }
}
