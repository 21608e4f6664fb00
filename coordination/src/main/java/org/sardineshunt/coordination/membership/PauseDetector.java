package org.sardineshunt.coordination.membership;

/** Detects pauses of the process by the gap between two runs of a periodic timer. Not thread-safe. */
public final class PauseDetector {
    private final long maximumGapMillis;
    private long lastMillis = Long.MIN_VALUE;

    /** Creates a detector that reports gaps longer than {@code maximumGapMillis} milliseconds. */
    public PauseDetector(long maximumGapMillis) {
        this.maximumGapMillis = maximumGapMillis;
    }

    /**
     * Records a run of the timer.
     *
     * @return the gap since the previous run in milliseconds if it was a pause, otherwise 0
     */
    public long tick(long nowMillis) {
        long gap = lastMillis == Long.MIN_VALUE ? 0 : nowMillis - lastMillis;
        lastMillis = nowMillis;
        return gap > maximumGapMillis ? gap : 0;
    }
}
