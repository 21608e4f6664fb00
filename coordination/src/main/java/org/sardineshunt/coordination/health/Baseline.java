package org.sardineshunt.coordination.health;

import java.util.Collection;
import java.util.List;

/**
 * What is usual in the group of upstreams that serve one service.
 *
 * @param failureShare median share of failed requests, between 0 and 1
 * @param medianLatencyMillis median of the upstreams' median latencies; 0 when unknown
 * @param upstreams number of upstreams that took part
 */
public record Baseline(double failureShare, double medianLatencyMillis, int upstreams) {
    /** No knowledge of the group. */
    public static final Baseline UNKNOWN = new Baseline(0, 0, 0);

    /**
     * Returns the medians over samples with enough requests.
     *
     * @param minimumRequests samples with fewer requests are left out
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

    // With an even count the lower middle is taken: half of a group gone bad must not define what is usual.
    private static double lowerMedian(List<Double> sorted) {
        return sorted.get((sorted.size() - 1) / 2);
    }

    /**
     * Real work of one upstream over the last seconds.
     *
     * @param requests finished requests
     * @param failures failed requests among them
     * @param medianLatencyMillis median latency of the successful ones; 0 when there was none
     */
    public record Sample(int requests, int failures, double medianLatencyMillis) {}
}
