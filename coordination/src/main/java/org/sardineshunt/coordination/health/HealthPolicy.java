package org.sardineshunt.coordination.health;

/**
 * Thresholds at which {@link UpstreamHealth} ejects and readmits an upstream. Immutable and thread-safe.
 *
 * <pre>{@code
 * HealthPolicy policy = HealthPolicy.builder().slowFactor(4).build();
 * }</pre>
 */
public final class HealthPolicy {
    final double unhealthyFailureShare;
    final double minimumBaselineFailureShare;
    final double slowFactor;
    final double minimumSlowMillis;
    final double ejectionScore;
    final long maximumBaselineAgeMillis;
    final long firstEjectionMillis;
    final long repeatedEjectionMillis;
    final long maximumEjectionMillis;
    final long repeatWindowMillis;
    final int trialSuccesses;
    final long untestedTrialMillis;
    final double fastFailureLatencyRatio;

    private HealthPolicy(Builder builder) {
        unhealthyFailureShare = builder.unhealthyFailureShare;
        minimumBaselineFailureShare = builder.minimumBaselineFailureShare;
        slowFactor = builder.slowFactor;
        minimumSlowMillis = builder.minimumSlowMillis;
        ejectionScore = builder.ejectionScore;
        maximumBaselineAgeMillis = builder.maximumBaselineAgeMillis;
        firstEjectionMillis = builder.firstEjectionMillis;
        repeatedEjectionMillis = builder.repeatedEjectionMillis;
        maximumEjectionMillis = builder.maximumEjectionMillis;
        repeatWindowMillis = builder.repeatWindowMillis;
        trialSuccesses = builder.trialSuccesses;
        untestedTrialMillis = builder.untestedTrialMillis;
        fastFailureLatencyRatio = builder.fastFailureLatencyRatio;
    }

    /** Returns a builder with default values for services with latencies of milliseconds to seconds. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a {@link HealthPolicy}. Not thread-safe. */
    public static final class Builder {
        private double unhealthyFailureShare = 0.3;
        private double minimumBaselineFailureShare = 0.01;
        private double slowFactor = 4;
        private double minimumSlowMillis = 20;
        private double ejectionScore = 16;
        private long maximumBaselineAgeMillis;
        private long firstEjectionMillis = 5_000;
        private long repeatedEjectionMillis = 35_000;
        private long maximumEjectionMillis = 300_000;
        private long repeatWindowMillis = 120_000;
        private int trialSuccesses = 10;
        private long untestedTrialMillis = Long.MAX_VALUE;
        private double fastFailureLatencyRatio;

        private Builder() {}

        /** Sets the failure share, between 0 and 1, at which an upstream counts as unhealthy. */
        public Builder unhealthyFailureShare(double share) {
            unhealthyFailureShare = requireShare("unhealthy failure share", share);
            return this;
        }

        /**
         * Sets the lower bound of the baseline's failure share, between 0 and 1. It replaces the share of a group with
         * fewer failures.
         */
        public Builder minimumBaselineFailureShare(double share) {
            minimumBaselineFailureShare = requireShare("minimum baseline failure share", share);
            return this;
        }

        /** Sets how many times the group's median latency a request may take before it counts as slow. */
        public Builder slowFactor(double factor) {
            if (!(factor > 1)) {
                throw new IllegalArgumentException("slow factor " + factor + " is not above 1");
            }
            slowFactor = factor;
            return this;
        }

        /** Sets the latency in milliseconds up to which no request counts as slow. */
        public Builder minimumSlowMillis(double millis) {
            minimumSlowMillis = millis;
            return this;
        }

        /**
         * Sets the cumulative log-likelihood ratio at which an upstream is ejected. The mean number of requests of a
         * healthy upstream between two false ejections is at least e to the power of this score.
         */
        public Builder ejectionScore(double score) {
            if (!(score > 0)) {
                throw new IllegalArgumentException("ejection score " + score + " is not above 0");
            }
            ejectionScore = score;
            return this;
        }

        /**
         * Sets the maximum age of the group's baseline, in milliseconds. An ejection for slowness waits for two further
         * baselines or for three times this age, because a slowdown of all upstreams must not eject any of them. With
         * 0, the default, the baseline counts as always up to date and the ejection doesn't wait.
         */
        public Builder maximumBaselineAgeMillis(long millis) {
            maximumBaselineAgeMillis = millis;
            return this;
        }

        /** Sets the number of consecutive successful requests that end a trial. */
        public Builder trialSuccesses(int successes) {
            trialSuccesses = successes;
            return this;
        }

        /**
         * Sets after how many milliseconds a trial without a successful request ends as if it had succeeded; by default
         * never. A service without idempotent requests needs this, because no others are sent to an upstream on trial.
         */
        public Builder untestedTrialMillis(long millis) {
            untestedTrialMillis = millis;
            return this;
        }

        /**
         * Sets the fraction of the normal latency below which a failure is fast and counts twice; 0, the default,
         * disables this.
         */
        public Builder fastFailureLatencyRatio(double ratio) {
            fastFailureLatencyRatio = ratio;
            return this;
        }

        /**
         * Sets the duration of ejections, in milliseconds.
         *
         * @param first duration for an upstream that was not ejected in the last two minutes
         * @param repeated duration for one that was; doubled with each further ejection
         * @param maximum upper bound of the duration
         * @throws IllegalArgumentException if the durations are not positive or decrease
         */
        public Builder ejectionMillis(long first, long repeated, long maximum) {
            if (first <= 0 || repeated < first || maximum < repeated) {
                throw new IllegalArgumentException("ejection times " + first + ", " + repeated + ", " + maximum
                        + " ms decrease or aren't positive");
            }
            firstEjectionMillis = first;
            repeatedEjectionMillis = repeated;
            maximumEjectionMillis = maximum;
            return this;
        }

        /** Returns the policy. */
        public HealthPolicy build() {
            return new HealthPolicy(this);
        }

        private static double requireShare(String name, double share) {
            if (!(share > 0 && share < 1)) {
                throw new IllegalArgumentException(name + " " + share + " is not between 0 and 1");
            }
            return share;
        }
    }
}
