package org.sardineshunt.coordination.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the size of requests and their responses by route, from those that were answered. Not thread-safe.
 *
 * <pre>{@code
 * TransferEstimate estimate = new TransferEstimate(1_000);
 * estimate.record("catalogue", 90_000);
 * double expectedBytes = estimate.bytes("catalogue");
 * }</pre>
 */
public final class TransferEstimate {
    // Weight of the newest sample in the exponentially weighted mean.
    private static final double SMOOTHING_FACTOR = 0.1;

    private final Map<String, Double> meanByRoute;

    /**
     * Creates an estimate without samples.
     *
     * @param maximumRoutes routes that are kept; the one without a sample for longest is dropped first
     */
    public TransferEstimate(int maximumRoutes) {
        meanByRoute = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                return size() > maximumRoutes;
            }
        };
    }

    /** Records the size of a request of a route and its response. */
    public void record(String route, long bytes) {
        meanByRoute.merge(route, (double) bytes, (mean, sample) -> mean + SMOOTHING_FACTOR * (sample - mean));
    }

    /** Returns the expected size in bytes; 0 for a route without samples. */
    public double bytes(String route) {
        return meanByRoute.getOrDefault(route, 0.0);
    }
}
