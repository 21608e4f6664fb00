package org.sardineshunt.coordination.limit;

/**
 * Decides which requests a stopping node still takes. It answers the load of callers that go on sending, on open or new
 * connections, because they have not noticed the stop yet: a request that may not be answered before the node ends is
 * refused at once, so that it has not run and may come back, instead of being given up halfway. How long it usually takes
 * doesn't count, because the upstream may be slower or hang. Immutable and thread-safe.
 */
public final class StopAdmission {
    /** The node isn't stopping: takes every request. */
    public static final StopAdmission OPEN = new StopAdmission(Long.MAX_VALUE, Long.MAX_VALUE);

    private final long takesAllUntilMillis;
    private final long endsAtMillis;

    private StopAdmission(long takesAllUntilMillis, long endsAtMillis) {
        this.takesAllUntilMillis = takesAllUntilMillis;
        this.endsAtMillis = endsAtMillis;
    }

    /**
     * Returns the decision of a node that has begun to stop.
     *
     * @param takesAllUntilMillis time until which callers can't know of the stop; takes every request until then
     * @param endsAtMillis time at which requests without a response are given up
     */
    public static StopAdmission stopping(long takesAllUntilMillis, long endsAtMillis) {
        return new StopAdmission(takesAllUntilMillis, endsAtMillis);
    }

    /** Returns whether to take a request that is answered by the given deadline, whatever happens. */
    public boolean takes(long nowMillis, long deadlineMillis) {
        return nowMillis < takesAllUntilMillis || deadlineMillis <= endsAtMillis;
    }

    /** Returns the milliseconds until the node ends; 0 once it has passed. */
    public long millisUntilEnd(long nowMillis) {
        return Math.max(0, endsAtMillis - nowMillis);
    }
}
