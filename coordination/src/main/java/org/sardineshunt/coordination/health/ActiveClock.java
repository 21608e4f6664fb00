package org.sardineshunt.coordination.health;

/**
 * Measures the time during which a thread ran on time: stands still while its periodic ticks are late. Latencies that
 * are measured with it exclude the delay of a process that was paused or got no processor time. Not thread-safe.
 *
 * <pre>{@code
 * ActiveClock clock = new ActiveClock(50, nowMillis);
 * clock.tick(nowMillis);
 * long startedAt = clock.activeMillis(nowMillis);
 * }</pre>
 */
public final class ActiveClock {
    // Ticks up to one period late are usual.
    private static final int MAXIMUM_COUNTED_PERIODS = 2;

    private final long maximumCountedMillis;
    private long millisUntilLastTick;
    private long lastTickMillis;

    /**
     * Creates a clock at 0.
     *
     * @param tickPeriodMillis time between ticks, greater than 0
     * @param nowMillis current time of the clock that all methods use
     */
    public ActiveClock(long tickPeriodMillis, long nowMillis) {
        maximumCountedMillis = MAXIMUM_COUNTED_PERIODS * tickPeriodMillis;
        lastTickMillis = nowMillis;
    }

    /** Records a tick of the thread. */
    public void tick(long nowMillis) {
        millisUntilLastTick = activeMillis(nowMillis);
        lastTickMillis = nowMillis;
    }

    /** Returns the active time in milliseconds; the time since the last tick counts up to two periods. */
    public long activeMillis(long nowMillis) {
        return millisUntilLastTick + Math.min(nowMillis - lastTickMillis, maximumCountedMillis);
    }
}
