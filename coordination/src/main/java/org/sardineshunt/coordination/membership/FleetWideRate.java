package org.sardineshunt.coordination.membership;

import java.util.random.RandomGenerator;

/**
 * Spreads an action that any node may perform over the nodes of a fleet, so that the fleet performs it at a given rate,
 * however many nodes there are and whatever happens to them at the same time. Delays are distributed exponentially, so a
 * delay that was drawn long ago is no better than a new one. Immutable and thread-safe.
 */
public final class FleetWideRate {
    private final double perSecond;
    private final long minimumMeanMillis;

    /**
     * Creates a rate.
     *
     * @param perSecond actions of the whole fleet a second, greater than 0
     * @param minimumMeanMillis shortest mean delay of one node, which holds for small fleets
     */
    public FleetWideRate(double perSecond, long minimumMeanMillis) {
        if (!(perSecond > 0)) {
            throw new IllegalArgumentException("perSecond is " + perSecond + ", expected more than 0");
        }
        this.perSecond = perSecond;
        this.minimumMeanMillis = minimumMeanMillis;
    }

    /**
     * Returns the delay until the next action of one node, in milliseconds.
     *
     * @param nodes number of nodes that share the rate, at least 1
     */
    public long nextDelayMillis(long nodes, RandomGenerator random) {
        double meanMillis = Math.max(minimumMeanMillis, nodes * 1_000 / perSecond);
        return Math.round(-Math.log(1 - random.nextDouble()) * meanMillis);
    }
}
