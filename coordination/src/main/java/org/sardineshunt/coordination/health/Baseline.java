package org.sardineshunt.coordination.health;

import java.util.Collection;
import java.util.List;

/**
 * Median failure share and latency of a group: all upstreams of one service. Immutable and thread-safe.
 *
 * @param failureShare median share of failed requests, between 0 and 1
 * @param medianLatencyMillis median of the upstreams' median latencies; 0 if unknown
 * @param upstreams number of upstreams whose samples were used
 */
public record Baseline(double failureShare, double medianLatencyMillis, int upstreams) {
    /** Baseline of a group without enough samples. */
    public static final Baseline UNKNOWN = new Baseline(0, 0, 0);

    /**
     * Returns the medians of the samples with enough requests, or {@link #UNKNOWN} if there are no such samples.
     *
     * @param minimumRequests samples with fewer requests are ignored
     */
    public static Baseline of(Collection<Sample> samples, int minimumRequests) {
        List<Sample> usable = samples.stream()
                .filter(sample -> sample.requests() >= minimumRequests)
                .toList();
        if (usable.isEmpty()) {
            return UNKNOWN;
        }
        List<Double> failureShares = usable.stream()
                .map(sample -> (double) sample.failures() / sample.requests())
                .sorted()
                .toList();
        List<Double> latencies =
                usable.stream().map(Sample::medianLatencyMillis).sorted().toList();
        return new Baseline(lowerMedian(failureShares), lowerMedian(latencies), usable.size());
    }

    // Takes the lower of two middle values, so that the baseline stays healthy when half of a group is unhealthy.
    private static double lowerMedian(List<Double> sorted) {
        return sorted.get((sorted.size() - 1) / 2);
    }

    /**
     * Statistics of the recent requests of one upstream.
     *
     * @param requests number of finished requests
     * @param failures number of failed requests among them
     * @param medianLatencyMillis median latency of the successful ones; 0 if there were none
     */
    public record Sample(int requests, int failures, double medianLatencyMillis) {}
}
