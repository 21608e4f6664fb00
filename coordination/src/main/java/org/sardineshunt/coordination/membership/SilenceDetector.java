package org.sardineshunt.coordination.membership;

/**
 * Judges by periodic checks whether a connection has become silent. A check that comes late follows a pause of this
 * process; what arrived meanwhile may be read only after it, so the silence then starts again, once. Not thread-safe.
 */
public final class SilenceDetector {
    // Checks may be later than their period by this much without a pause.
    private static final long MAXIMUM_DELAY_MILLIS = 300;

    private final long maximumSilenceMillis;
    private final long checkPeriodMillis;
    private long silentSinceMillis;
    private long lastCheckMillis;
    private boolean pausedInSilence;

    /**
     * Creates a detector.
     *
     * @param maximumSilenceMillis silence after which the connection counts as silent
     * @param checkPeriodMillis time between checks
     * @param nowMillis current time
     */
    public SilenceDetector(long maximumSilenceMillis, long checkPeriodMillis, long nowMillis) {
        this.maximumSilenceMillis = maximumSilenceMillis;
        this.checkPeriodMillis = checkPeriodMillis;
        restart(nowMillis);
    }

    /** Starts to measure, with the first check after one period. */
    public void restart(long nowMillis) {
        lastCheckMillis = nowMillis;
        recordReceived(nowMillis);
    }

    /** Records that something was received. */
    public void recordReceived(long nowMillis) {
        silentSinceMillis = nowMillis;
        pausedInSilence = false;
    }

    /** Returns for how many milliseconds nothing has been received. */
    public long silentMillis(long nowMillis) {
        return nowMillis - silentSinceMillis;
    }

    /** Checks the connection; returns whether it is silent. */
    public boolean checkSilent(long nowMillis) {
        boolean late = nowMillis - lastCheckMillis > checkPeriodMillis + MAXIMUM_DELAY_MILLIS;
        lastCheckMillis = nowMillis;
        if (late && !pausedInSilence) {
            pausedInSilence = true;
            silentSinceMillis = nowMillis;
        }
        return silentMillis(nowMillis) >= maximumSilenceMillis;
    }
}
