package org.sardineshunt.coordination.placement;

/**
 * Decides when a home's load has changed enough to be told. Steps are free slots, up to as many as matter, and then each
 * doubling of the expected wait. Not thread-safe.
 */
public final class LoadReportThrottle {
    private final int maxFreeSlots;
    private final double baseWaitMillis;
    private final long minIntervalMillis;
    private final long repeatIntervalMillis;
    private long reportedAtMillis = Long.MIN_VALUE / 2;
    private int reportedStep;

    /**
     * Creates steps of which the emptiest counts as told.
     *
     * @param maxFreeSlots free slots above which their number doesn't matter
     * @param baseWaitMillis wait that is told apart from none
     * @param minIntervalMillis time between two reports of changes
     * @param repeatIntervalMillis time after which an unchanged wait is told again
     */
    public LoadReportThrottle(
            int maxFreeSlots, double baseWaitMillis, long minIntervalMillis, long repeatIntervalMillis) {
        this.maxFreeSlots = maxFreeSlots;
        this.baseWaitMillis = baseWaitMillis;
        this.minIntervalMillis = minIntervalMillis;
        this.repeatIntervalMillis = repeatIntervalMillis;
        reportedStep = -maxFreeSlots;
    }

    /** Returns whether the load must be told now; if so it counts as told. */
    public boolean shouldReport(long nowMillis, int freeSlots, double waitMillis) {
        int step = step(freeSlots, waitMillis);
        boolean changed = step != reportedStep && nowMillis - reportedAtMillis >= minIntervalMillis;
        boolean repeatDue = step > 0 && nowMillis - reportedAtMillis >= repeatIntervalMillis;
        if (!changed && !repeatDue) {
            return false;
        }
        reportedStep = step;
        reportedAtMillis = nowMillis;
        return true;
    }

    /** Returns whether a change waits to be told. */
    public boolean hasPendingChange(int freeSlots, double waitMillis) {
        return step(freeSlots, waitMillis) != reportedStep;
    }

    private int step(int freeSlots, double waitMillis) {
        return freeSlots > 0
                ? -Math.min(freeSlots, maxFreeSlots)
                : 1 + (int) Math.round(Math.log(1 + waitMillis / baseWaitMillis) / Math.log(2));
    }
}
