package org.sardineshunt.engine.caller;

import java.util.stream.IntStream;

import org.HdrHistogram.IntCountsHistogram;
import org.sardineshunt.coordination.retry.HedgingPolicy;
import org.sardineshunt.coordination.retry.HedgingPolicy.ResponseTimes;

/**
 * The response times of one service within the last {@value HedgingPolicy#WINDOW_MILLIS} ms. The window moves in slices
 * of a fifth of that time. Not thread-safe.
 */
final class ResponseTimeWindow {
    private static final int SLICES = 5;
    private static final long SLICE_MILLIS = HedgingPolicy.WINDOW_MILLIS / SLICES;
    private static final long MAXIMUM_MILLIS = 60_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    // Percentiles are read for each request, but merging the slices takes some microseconds.
    private static final long REFRESH_MILLIS = 100;

    private final IntCountsHistogram[] slices =
            IntStream.range(0, SLICES).mapToObj(index -> newHistogram()).toArray(IntCountsHistogram[]::new);
    private final IntCountsHistogram merged = newHistogram();
    private ResponseTimes lastTimes = ResponseTimes.NONE;
    private long lastRefreshMillis = -REFRESH_MILLIS;
    private long currentSlice;

    /** Records a response time; longer ones than {@value #MAXIMUM_MILLIS} ms count as that. */
    void record(long nowMillis, long millis) {
        moveTo(nowMillis);
        slices[(int) (currentSlice % SLICES)].recordValue(Math.max(1, Math.min(MAXIMUM_MILLIS, millis)));
    }

    /** Returns the number and the percentiles of the recent response times, as of at most 100 ms ago. */
    ResponseTimes times(long nowMillis) {
        if (nowMillis - lastRefreshMillis >= REFRESH_MILLIS) {
            lastRefreshMillis = nowMillis;
            moveTo(nowMillis);
            merged.reset();
            for (IntCountsHistogram slice : slices) {
                merged.add(slice);
            }
            lastTimes = merged.getTotalCount() == 0
                    ? ResponseTimes.NONE
                    : new ResponseTimes(
                            merged.getTotalCount(),
                            merged.getValueAtPercentile(50),
                            merged.getValueAtPercentile(HedgingPolicy.EARLY_PERCENTILE),
                            merged.getValueAtPercentile(HedgingPolicy.LATE_PERCENTILE));
        }
        return lastTimes;
    }

    private void moveTo(long nowMillis) {
        long slice = nowMillis / SLICE_MILLIS;
        long firstOutdated = Math.max(currentSlice + 1, slice - SLICES + 1);
        for (long outdated = firstOutdated; outdated <= slice; outdated++) {
            slices[(int) (outdated % SLICES)].reset();
        }
        currentSlice = Math.max(currentSlice, slice);
    }

    private static IntCountsHistogram newHistogram() {
        return new IntCountsHistogram(1, MAXIMUM_MILLIS, SIGNIFICANT_DIGITS);
    }
}
