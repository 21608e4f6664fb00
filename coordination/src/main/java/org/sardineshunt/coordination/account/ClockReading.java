package org.sardineshunt.coordination.account;

/**
 * A point in time on two clocks. While an instance is suspended its monotonic clock may stand still, and its wall clock
 * may be set back; what must not last too long is measured by the clock that moved further.
 *
 * @param monotonicMillis time of the monotonic clock
 * @param wallMillis time of the wall clock, in milliseconds since the epoch
 */
public record ClockReading(long monotonicMillis, long wallMillis) {
    /** Returns the time since an earlier reading, by the clock that moved further. */
    public long millisSince(ClockReading earlier) {
        return Math.max(monotonicMillis - earlier.monotonicMillis, wallMillis - earlier.wallMillis);
    }
}
