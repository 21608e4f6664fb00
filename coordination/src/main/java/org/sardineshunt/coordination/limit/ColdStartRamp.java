package org.sardineshunt.coordination.limit;

/**
 * Raises the concurrency of an upstream linearly from one request to all of its slots after it has become ready.
 *
 * @param readyAtMillis monotonic time at which it became ready
 * @param rampMillis time until all slots may be used; 0 means immediately
 */
public record ColdStartRamp(long readyAtMillis, long rampMillis) {
    /** Returns how many of the slots may be used now, at least 1 if there are any. */
    public int usableSlots(long nowMillis, int slots) {
        long elapsed = Math.max(0, nowMillis - readyAtMillis);
        if (elapsed >= rampMillis) {
            return slots;
        }
        return (int) Math.min(slots, 1 + (slots - 1) * elapsed / rampMillis);
    }
}
