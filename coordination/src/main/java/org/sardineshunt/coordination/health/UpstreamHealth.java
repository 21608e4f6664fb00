package org.sardineshunt.coordination.health;

import java.util.Objects;
import java.util.stream.IntStream;

import org.sardineshunt.coordination.rotation.HealthCondition;

/**
 * Passive health check of one upstream: ejects and readmits it by the outcomes and latencies of its requests.
 *
 * <pre>{@code
 * UpstreamHealth health = new UpstreamHealth(HealthPolicy.builder().build());
 * health.record(nowMillis, Outcome.SUCCESS, latencyMillis);
 * HealthCondition condition = health.condition(nowMillis);
 * }</pre>
 *
 * <p>Keeps two cumulative sums of log-likelihood ratios (CUSUM), one of failures and one of slow requests. They compare
 * the upstream with the baseline of its group: all upstreams of its service. A sum increases with each bad request,
 * decreases with each good one and is never below zero; a sum that reaches the policy's score ejects the upstream.
 * After the ejection, the upstream is on trial until it has answered enough requests without a bad one. Repeated
 * ejections last longer, so that with the default policy a flapping upstream returns at most twice a minute.
 *
 * <p>Latencies are in milliseconds, or all of them, the baseline's and the policy's included, in one other unit. Not
 * thread-safe.
 */
public final class UpstreamHealth {
    private static final int LATENCY_WINDOW_REQUESTS = 64;
    private static final long NOT_SLOW = Long.MAX_VALUE;
    private static final double HEALTHY_SLOW_SHARE = 0.02;
    private static final double UNHEALTHY_SLOW_SHARE = 0.5;

    // Below 1, because the log-likelihood ratio of a successful request would be minus infinity otherwise.
    private static final double MAXIMUM_UNHEALTHY_FAILURE_SHARE = 0.95;

    // An unhealthy upstream fails at least this many times as often as its group.
    private static final double GROUP_FAILURE_FACTOR = 3;

    // Share of errors after work that a healthy upstream may have: most of them come from calls that others refused.
    private static final double ERROR_AFTER_WORK_SHARE = 0.15;
    private static final double SAMPLE_DECAY = 0.5;
    private static final int SEVERITY_AT_EJECTION = 4;

    // A group whose median latency has grown by this factor is slow as a whole.
    private static final double GROUP_SLOWDOWN_FACTOR = 1.5;
    private static final int MINIMUM_NEW_LATENCIES = 3;

    // The first baseline after a slowdown still covers requests from before it, the second one doesn't.
    private static final int BASELINES_BEFORE_EJECTION = 2;

    // A busy group's baselines come late: after a wait of one maximum age, upstreams of a slow group are still ejected.
    private static final int BASELINE_AGES_BEFORE_EJECTION = 3;

    private final HealthPolicy policy;
    private final double[] latencies = new double[LATENCY_WINDOW_REQUESTS];
    private Baseline baseline = Baseline.UNKNOWN;
    private int latencyCount;
    private int sampledLatencyCount;
    private double baselineMillisBeforeSlowdown;
    private long slowSinceMillis = NOT_SLOW;
    private int baselinesWhileSlow;
    private double recentRequests;
    private double recentFailures;
    private double failureScore;
    private double slowScore;
    private HealthCondition condition = HealthCondition.HEALTHY;
    private long ejectedUntilMillis;
    // Long before any ejection, but not so low that the time since then overflows.
    private long lastEjectionMillis = Long.MIN_VALUE / 2;
    private int repeatedEjections;
    private int successesOnTrial;

    /** Creates the check of an upstream without requests so far, which counts as healthy. */
    public UpstreamHealth(HealthPolicy policy) {
        this.policy = Objects.requireNonNull(policy, "policy");
    }

    /**
     * Replaces the baseline of the upstream's group. If the whole group has become slow since the first slow request,
     * discards the evidence of the upstream's slowness.
     */
    public void updateBaseline(Baseline newBaseline) {
        baseline = Objects.requireNonNull(newBaseline, "newBaseline");
        if (slowScore > 0
                && newBaseline.medianLatencyMillis() >= GROUP_SLOWDOWN_FACTOR * baselineMillisBeforeSlowdown) {
            slowScore = 0;
            slowSinceMillis = NOT_SLOW;
        }
        baselinesWhileSlow++;
    }

    /**
     * Records a finished request.
     *
     * @param nowMillis current time of the clock that all methods use
     */
    public void record(long nowMillis, Outcome outcome, double latencyMillis) {
        boolean failed = outcome == Outcome.FAILURE;
        recentRequests++;
        recentFailures += failed ? 1 : 0;
        updateFailureScore(failed);
        if (failed && isFastFailure(latencyMillis)) {
            updateFailureScore(true);
        }
        if (!failed) {
            updateSlowScore(latencyMillis > slowLimitMillis());
            latencies[latencyCount++ % LATENCY_WINDOW_REQUESTS] = latencyMillis;
        }
        boolean good = !failed && latencyMillis <= slowLimitMillis();
        evaluate(nowMillis, good);
    }

    /**
     * Records a server error that took about as long as ordinary work. It is mostly caused by another service that the
     * upstream calls, so it counts less than other failures and doesn't end a trial.
     */
    public void recordErrorAfterWork(long nowMillis) {
        recentRequests++;
        recentFailures++;
        if (condition(nowMillis) == HealthCondition.TRIAL) {
            return;
        }
        double healthyShare = Math.max(ERROR_AFTER_WORK_SHARE, baseline.failureShare());
        failureScore = nextScore(
                failureScore,
                true,
                healthyShare,
                Math.min(MAXIMUM_UNHEALTHY_FAILURE_SHARE, healthyShare * GROUP_FAILURE_FACTOR));
        evaluate(nowMillis, false);
    }

    /** Records that a request is still in flight after {@link #slowLimitMillis()}. */
    public void recordOverdue(long nowMillis) {
        updateSlowScore(true);
        evaluate(nowMillis, false);
    }

    /** Returns the latency in milliseconds above which a request counts as slow; infinite without a baseline. */
    public double slowLimitMillis() {
        double baselineMillis = baseline.medianLatencyMillis();
        return baselineMillis <= 0
                ? Double.POSITIVE_INFINITY
                : Math.max(policy.minimumSlowMillis, baselineMillis * policy.slowFactor);
    }

    /**
     * Returns the condition at the given time. First starts the trial if the ejection is over, or ends a trial that has
     * had no successful request for the policy's time.
     */
    public HealthCondition condition(long nowMillis) {
        if (condition == HealthCondition.UNHEALTHY && nowMillis >= ejectedUntilMillis) {
            condition = HealthCondition.TRIAL;
            successesOnTrial = 0;
        }
        boolean untested = condition == HealthCondition.TRIAL && successesOnTrial == 0;
        if (untested && nowMillis - ejectedUntilMillis >= policy.untestedTrialMillis) {
            recover();
        }
        return condition;
    }

    /**
     * Returns how unhealthy the upstream is, from 0 for a healthy one to 8; 4 is reached at the ejection score. The
     * scale is coarse, so that the value changes seldom.
     */
    public int severity() {
        return (int) Math.ceil(SEVERITY_AT_EJECTION * Math.max(failureScore, slowScore) / policy.ejectionScore);
    }

    /** Returns when the last ejection ends and the trial begins; in the past if the upstream isn't ejected. */
    public long ejectedUntilMillis() {
        return ejectedUntilMillis;
    }

    /** Returns whether the upstream is ejected or on trial because of failures, not of slowness alone. */
    public boolean isFailing() {
        return condition != HealthCondition.HEALTHY && failureScore >= policy.ejectionScore;
    }

    /**
     * Returns statistics for the group's baseline: of the requests since the last call, and with decreasing weight of
     * those before it.
     */
    public Baseline.Sample sample() {
        int newLatencies = latencyCount - sampledLatencyCount;
        sampledLatencyCount = latencyCount;
        Baseline.Sample sample = new Baseline.Sample(
                (int) Math.round(recentRequests),
                (int) Math.round(recentFailures),
                median(newLatencies >= MINIMUM_NEW_LATENCIES ? newLatencies : LATENCY_WINDOW_REQUESTS));
        recentRequests *= SAMPLE_DECAY;
        recentFailures *= SAMPLE_DECAY;
        return sample;
    }

    /**
     * Returns whether a failure was too fast for an ordinary error, which comes after some work: an upstream that fails
     * this fast does no work at all. Returns false if the policy sets no ratio or the normal latency is unknown.
     */
    public boolean isFastFailure(double latencyMillis) {
        double normalMillis =
                baseline.medianLatencyMillis() > 0 ? baseline.medianLatencyMillis() : median(LATENCY_WINDOW_REQUESTS);
        return policy.fastFailureLatencyRatio > 0
                && normalMillis > 0
                && latencyMillis < normalMillis * policy.fastFailureLatencyRatio;
    }

    private void updateFailureScore(boolean failed) {
        double healthyShare = Math.max(policy.minimumBaselineFailureShare, baseline.failureShare());
        double unhealthyShare = Math.min(
                MAXIMUM_UNHEALTHY_FAILURE_SHARE,
                Math.max(policy.unhealthyFailureShare, healthyShare * GROUP_FAILURE_FACTOR));
        failureScore = nextScore(failureScore, failed, Math.min(healthyShare, unhealthyShare / 2), unhealthyShare);
    }

    private void updateSlowScore(boolean slow) {
        if (slowScore == 0) {
            baselineMillisBeforeSlowdown = baseline.medianLatencyMillis();
        }
        slowScore = nextScore(slowScore, slow, HEALTHY_SLOW_SHARE, UNHEALTHY_SLOW_SHARE);
    }

    // One step of a cumulative sum, bounded so that the severity is at most twice the one at ejection.
    private double nextScore(double score, boolean bad, double healthyShare, double unhealthyShare) {
        double logLikelihoodRatio =
                bad ? Math.log(unhealthyShare / healthyShare) : Math.log((1 - unhealthyShare) / (1 - healthyShare));
        return Math.min(2 * policy.ejectionScore, Math.max(0, score + logLikelihoodRatio));
    }

    private void evaluate(long nowMillis, boolean good) {
        if (condition(nowMillis) == HealthCondition.TRIAL) {
            evaluateTrial(nowMillis, good);
            return;
        }
        if (condition == HealthCondition.HEALTHY
                && (failureScore >= policy.ejectionScore || isSlownessConfirmed(nowMillis))) {
            eject(nowMillis);
        }
    }

    // Waits for baselines from after the slowdown, which show whether the whole group is slow.
    private boolean isSlownessConfirmed(long nowMillis) {
        if (slowScore < policy.ejectionScore) {
            slowSinceMillis = NOT_SLOW;
            return false;
        }
        if (slowSinceMillis == NOT_SLOW) {
            slowSinceMillis = nowMillis;
            baselinesWhileSlow = 0;
        }
        return baselinesWhileSlow >= BASELINES_BEFORE_EJECTION
                || nowMillis - slowSinceMillis >= BASELINE_AGES_BEFORE_EJECTION * policy.maximumBaselineAgeMillis;
    }

    private void evaluateTrial(long nowMillis, boolean good) {
        if (!good) {
            eject(nowMillis);
            return;
        }
        successesOnTrial++;
        if (successesOnTrial >= policy.trialSuccesses) {
            recover();
        }
    }

    private void recover() {
        condition = HealthCondition.HEALTHY;
        failureScore = 0;
        slowScore = 0;
    }

    private void eject(long nowMillis) {
        boolean repeated = nowMillis - lastEjectionMillis < policy.repeatWindowMillis;
        repeatedEjections = repeated ? repeatedEjections + 1 : 0;
        // The number of doublings is limited, because the shift would overflow otherwise.
        long ejectionMillis = repeatedEjections == 0
                ? policy.firstEjectionMillis
                : Math.min(
                        policy.maximumEjectionMillis,
                        policy.repeatedEjectionMillis << Math.min(repeatedEjections - 1, 10));
        lastEjectionMillis = nowMillis;
        ejectedUntilMillis = nowMillis + ejectionMillis;
        condition = HealthCondition.UNHEALTHY;
    }

    private double median(int maximumCount) {
        int count = Math.min(maximumCount, Math.min(latencyCount, LATENCY_WINDOW_REQUESTS));
        if (count == 0) {
            return 0;
        }
        double[] sorted = IntStream.rangeClosed(1, count)
                .mapToDouble(age -> latencies[(latencyCount - age) % LATENCY_WINDOW_REQUESTS])
                .sorted()
                .toArray();
        return sorted[(count - 1) / 2];
    }

    /** Outcome of a request, as the home of the upstream observes it. */
    public enum Outcome {
        /** A complete answer that isn't a server error. */
        SUCCESS,
        /**
         * A server error, a truncated answer, the answer to another request, a refused or lost connection, or a missed
         * deadline.
         */
        FAILURE
    }
}
