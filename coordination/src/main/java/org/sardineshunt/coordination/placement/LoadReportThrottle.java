package org.sardineshunt.coordination.placement;

/**
 * Decides when a home's load has changed enough to be reported. The load is divided into steps: the number of free
 * slots, up to a maximum, and without a free slot each doubling of the expected wait. Not thread-safe.
 */
public final class LoadReportThrottle {
    private final int maximumFreeSlots;
    private final double baseWaitMillis;
    private final long minimumIntervalMillis;
    private final long repeatIntervalMillis;
    private long reportedAtMillis = Long.MIN_VALUE / 2;
    private int reportedStep;

    /**
     * Creates a throttle that treats an idle home as already reported.
     *
     * @param maximumFreeSlots number of free slots above which further ones make no difference
     * @param baseWaitMillis expected wait that is one step above no wait
     * @param minimumIntervalMillis shortest time between two reports of changes
     * @param repeatIntervalMillis time after which the load of a home without free slots is reported again unchanged
     */
    public LoadReportThrottle(
            int maximumFreeSlots, double baseWaitMillis, long minimumIntervalMillis, long repeatIntervalMillis) {
        this.maximumFreeSlots = maximumFreeSlots;
        this.baseWaitMillis = baseWaitMillis;
        this.minimumIntervalMillis = minimumIntervalMillis;
        this.repeatIntervalMillis = repeatIntervalMillis;
        reportedStep = -maximumFreeSlots;
    }

    /** Returns whether the load must be reported now; if so, records it as reported. */
    public boolean shouldReport(long nowMillis, int freeSlots, double waitMillis) {
        int step = step(freeSlots, waitMillis);
        boolean changed = step != reportedStep && nowMillis - reportedAtMillis >= minimumIntervalMillis;
        boolean repeatDue = step > 0 && nowMillis - reportedAtMillis >= repeatIntervalMillis;
        if (!changed && !repeatDue) {
            return false;
        }
        reportedStep = step;
        reportedAtMillis = nowMillis;
        return true;
    }

    /** Returns whether the load differs from the last report, so that a change is still to be reported. */
    public boolean hasPendingChange(int freeSlots, double waitMillis) {
        return step(freeSlots, waitMillis) != reportedStep;
    }

    private int step(int freeSlots, double waitMillis) {
        return freeSlots > 0
                ? -Math.min(freeSlots, maximumFreeSlots)
                : 1 + (int) Math.round(Math.log(1 + waitMillis / baseWaitMillis) / Math.log(2));
    }
}
