package org.sardineshunt.coordination.placement;

/**
 * Estimates a service time from recent samples. While there are few of them, a prior estimate counts like
 * {@value #PRIOR_SAMPLES} samples, so that one unusual response doesn't make an upstream look fast, which attracts work
 * beyond its capacity, or slow, which leaves its slots unused. Not thread-safe.
 */
public final class ServiceTimeEstimate {
    private static final int PRIOR_SAMPLES = 3;

    // Weight of the newest sample in the exponentially weighted means, once there are enough samples.
    private static final double SMOOTHING_FACTOR = 0.1;

    private double meanMillis;
    private double meanSquare;
    private int samples;

    /**
     * Records a service time.
     *
     * @param priorMillis estimate before the first sample, for example that of similar upstreams; unused afterwards
     */
    public void record(double millis, double priorMillis) {
        if (samples == 0) {
            meanMillis = priorMillis;
            meanSquare = priorMillis * priorMillis;
        }
        samples = Math.min(samples + 1, Integer.MAX_VALUE - PRIOR_SAMPLES - 1);
        double weight = Math.max(SMOOTHING_FACTOR, 1.0 / (PRIOR_SAMPLES + samples));
        meanMillis += (millis - meanMillis) * weight;
        meanSquare += (millis * millis - meanSquare) * weight;
    }

    /** Returns the mean in milliseconds; 0 before the first sample. */
    public double meanMillis() {
        return meanMillis;
    }

    /**
     * Returns the mean of the request that holds a slot at a random moment, in milliseconds; 0 before the first sample.
     * Requests count in proportion to their service time, so that many trivial ones don't hide the long ones.
     */
    public double lengthBiasedMillis() {
        return meanMillis > 0 ? meanSquare / meanMillis : 0;
    }
}
