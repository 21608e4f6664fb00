package org.sardineshunt.coordination.membership;

/** Notices that the process stood still, from the gap between two runs of a timer. Not thread-safe. */
public final class PauseDetector {
    private final long maximumGapMillis;
    private long lastMillis = Long.MIN_VALUE;

    /** Creates a detector that reports gaps longer than this many milliseconds. */
    public PauseDetector(long maximumGapMillis) {
        this.maximumGapMillis = maximumGapMillis;
    }

    /** Records a run of the timer; returns the length of the pause before it in milliseconds, or 0. */
    public long tick(long nowMillis) {
        long gap = lastMillis == Long.MIN_VALUE ? 0 : nowMillis - lastMillis;
        lastMillis = nowMillis;
        return gap > maximumGapMillis ? gap : 0;
    }
}
