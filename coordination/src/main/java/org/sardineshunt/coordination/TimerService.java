package org.sardineshunt.coordination;

/**
 * Source of time that parts subscribe to. Callbacks run on the thread that owns the parts' state.
 *
 * <p>Times are milliseconds of a monotonic clock with an arbitrary origin.
 */
public interface TimerService {
    /** Returns the current monotonic time in milliseconds. */
    long nowMillis();

    /**
     * Runs an action repeatedly until the subscription is cancelled.
     *
     * @param periodMillis time between runs, greater than 0
     */
    Timer every(long periodMillis, Runnable action);

    /**
     * Runs an action once.
     *
     * @param delayMillis time until the run; 0 or less means as soon as possible
     */
    Timer after(long delayMillis, Runnable action);

    /** A running timer. */
    @FunctionalInterface
    interface Timer {
        /** Stops the timer; does nothing when it has ended. */
        void cancel();
    }
}
