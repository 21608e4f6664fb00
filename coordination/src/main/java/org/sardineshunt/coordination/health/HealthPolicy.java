package org.sardineshunt.coordination.health;

/**
 * Limits by which {@link UpstreamHealth} judges an upstream. Immutable and thread-safe.
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
    final long longestEjectionMillis;
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
        longestEjectionMillis = builder.longestEjectionMillis;
        repeatWindowMillis = builder.repeatWindowMillis;
        trialSuccesses = builder.trialSuccesses;
        untestedTrialMillis = builder.untestedTrialMillis;
        fastFailureLatencyRatio = builder.fastFailureLatencyRatio;
    }

    /** Returns a builder with defaults for services with latencies of milliseconds to seconds. */
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
        private long longestEjectionMillis = 300_000;
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

        /** Sets the lowest failure share, between 0 and 1, that is taken as usual. */
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

        /** Sets the latency in milliseconds below which no request counts as slow. */
        public Builder minimumSlowMillis(double millis) {
            minimumSlowMillis = millis;
            return this;
        }

        /**
         * Sets the log-likelihood ratio at which an upstream is ejected. The mean number of healthy requests between
         * false ejections is at least e to this power.
         */
        public Builder ejectionScore(double score) {
            if (!(score > 0)) {
                throw new IllegalArgumentException("ejection score " + score + " is not above 0");
            }
            ejectionScore = score;
            return this;
        }

        /**
         * Sets how old the group's baseline may be, in milliseconds. An ejection for slowness waits for two reports of the
         * group, or for three times this, because a slowdown that all upstreams share is no fault of one; 0, the default,
         * if the baseline is always fresh.
         */
        public Builder maximumBaselineAgeMillis(long millis) {
            maximumBaselineAgeMillis = millis;
            return this;
        }

        /** Sets the successes in a row that end a trial. */
        public Builder trialSuccesses(int successes) {
            trialSuccesses = successes;
            return this;
        }

        /**
         * Sets after how many milliseconds a trial that nobody put to the test ends well, so that a service without
         * idempotent work gets its upstreams back; by default it never does.
         */
        public Builder untestedTrialMillis(long millis) {
            untestedTrialMillis = millis;
            return this;
        }

        /**
         * Sets the share of the usual latency below which a failure counts twice; 0, the default, for never.
         */
        public Builder fastFailureLatencyRatio(double ratio) {
            fastFailureLatencyRatio = ratio;
            return this;
        }

        /**
         * Sets how long ejections last, in milliseconds.
         *
         * @param first for an upstream that was healthy throughout the relapse window
         * @param repeated for a relapse; doubled for each further one
         * @param longest upper bound
         */
        public Builder ejectionMillis(long first, long repeated, long longest) {
            if (first <= 0 || repeated < first || longest < repeated) {
                throw new IllegalArgumentException(
                        "ejection times " + first + ", " + repeated + ", " + longest + " ms are not increasing");
            }
            firstEjectionMillis = first;
            repeatedEjectionMillis = repeated;
            longestEjectionMillis = longest;
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
