package org.sardineshunt.coordination.placement;

/**
 * Decides when a home's load has changed enough to be told. Steps are free slots, up to as many as matter, and then each
 * doubling of the expected wait. Not thread-safe.
 */
public final class LoadReportThrottle {
    private final int mattersFree;
    private final double firstStepMillis;
    private final long shortestPeriodMillis;
    private final long repeatMillis;
    private long toldMillis = Long.MIN_VALUE / 2;
    private int toldStep;

    /**
     * Creates steps of which the emptiest counts as told.
     *
     * @param mattersFree free slots above which their number doesn't matter
     * @param firstStepMillis wait that is told apart from none
     * @param shortestPeriodMillis time between two reports of changes
     * @param repeatMillis time after which an unchanged wait is told again
     */
    public LoadReportThrottle(int mattersFree, double firstStepMillis, long shortestPeriodMillis, long repeatMillis) {
        this.mattersFree = mattersFree;
        this.firstStepMillis = firstStepMillis;
        this.shortestPeriodMillis = shortestPeriodMillis;
        this.repeatMillis = repeatMillis;
        toldStep = -mattersFree;
    }

    /** Returns whether the load must be told now; if so it counts as told. */
    public boolean shouldReport(long nowMillis, int freeSlots, double waitMillis) {
        int step = step(freeSlots, waitMillis);
        boolean changed = step != toldStep && nowMillis - toldMillis >= shortestPeriodMillis;
        boolean faded = step > 0 && nowMillis - toldMillis >= repeatMillis;
        if (!changed && !faded) {
            return false;
        }
        toldStep = step;
        toldMillis = nowMillis;
        return true;
    }

    /** Returns whether a change waits to be told. */
    public boolean hasPendingChange(int freeSlots, double waitMillis) {
        return step(freeSlots, waitMillis) != toldStep;
    }

    private int step(int freeSlots, double waitMillis) {
        return freeSlots > 0
                ? -Math.min(freeSlots, mattersFree)
                : 1 + (int) Math.round(Math.log(1 + waitMillis / firstStepMillis) / Math.log(2));
    }
}
