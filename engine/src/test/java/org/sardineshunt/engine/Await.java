package org.sardineshunt.engine;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for what other threads bring about. */
public final class Await {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private Await() {}

    /** Returns once a condition holds; fails the test if it doesn't for twenty seconds. */
    public static void until(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("still not true: " + description);
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
