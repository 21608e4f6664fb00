package org.sardineshunt.engine;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions that other threads fulfil. */
public final class Await {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private Await() {}

    /** Returns once the condition holds; fails the test if that takes more than 20 seconds. */
    public static void until(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("condition not met in time: " + description);
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
