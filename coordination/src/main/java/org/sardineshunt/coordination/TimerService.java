package org.sardineshunt.coordination;

/**
 * Clock and timers of one thread. Actions run on the thread that owns the state they use.
 *
 * <p>Times are milliseconds of a monotonic clock with an arbitrary origin.
 */
public interface TimerService {
    /** Returns the current monotonic time in milliseconds. */
    long nowMillis();

    /**
     * Runs an action periodically until the timer is cancelled.
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

    /** A scheduled action. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the timer; has no effect if it has ended. */
        void cancel();
    }
}
