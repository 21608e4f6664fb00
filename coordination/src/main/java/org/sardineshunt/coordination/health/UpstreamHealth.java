package org.sardineshunt.coordination.health;

import java.util.Objects;
import java.util.stream.IntStream;

import org.sardineshunt.coordination.rotation.HealthCondition;

/**
 * Judges one upstream by the outcome of its real work.
 *
 * <pre>{@code
 * UpstreamHealth health = new UpstreamHealth(HealthPolicy.builder().build());
 * health.record(nowMillis, Outcome.SUCCESS, latencyMillis);
 * HealthCondition condition = health.condition(nowMillis);
 * }</pre>
 *
 * <p>Two cumulative sums of log-likelihood ratios are kept, one of failures and one of slow requests, against the usual
 * share of the group. A sum rises with each bad request, falls with each good one and is never below zero; crossing the
 * policy's score ejects. After the ejection time the upstream is on trial until it has answered enough requests without
 * a bad one. Relapses lengthen the next ejection, so an upstream that flaps returns at most twice a minute. Not
 * thread-safe.
 */
public final class UpstreamHealth {
    private static final int LATENCY_WINDOW_REQUESTS = 64;
    private static final long NOT_SLOW = Long.MAX_VALUE;
    private static final double HEALTHY_SLOW_SHARE = 0.02;
    private static final double UNHEALTHY_SLOW_SHARE = 0.5;
    private static final double MAXIMUM_UNHEALTHY_FAILURE_SHARE = 0.95;
    private static final double GROUP_FAILURE_FACTOR = 3;
    private static final double ERROR_AFTER_WORK_SHARE = 0.15;
    private static final double SAMPLE_DECAY = 0.5;
    private static final int SEVERITY_AT_EJECTION = 4;

    // A group whose latency has grown by this is slow as a whole.
    private static final double GROUP_SLOWDOWN_FACTOR = 1.5;
    private static final int MINIMUM_NEW_LATENCIES = 3;

    // The second report covers only work from after the first; a busy group's reports are waited for a little longer.
    private static final int BASELINES_BEFORE_EJECTION = 2;
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
    private long lastEjectionMillis = Long.MIN_VALUE / 2;
    private int repeatedEjections;
    private int successesOnTrial;

    /** Creates the health of an upstream that has done no work yet and counts as healthy. */
    public UpstreamHealth(HealthPolicy policy) {
        this.policy = Objects.requireNonNull(policy, "policy");
    }

    /** Sets what is usual in the upstream's group. */
    public void updateBaseline(Baseline newBaseline) {
        baseline = Objects.requireNonNull(newBaseline, "newBaseline");
        if (slowScore > 0
                && newBaseline.medianLatencyMillis() >= GROUP_SLOWDOWN_FACTOR * baselineMillisBeforeSlowdown) {
            slowScore = 0;
            slowSinceMillis = NOT_SLOW;
        }
        baselinesWhileSlow++;
    }

    /** Records a finished request and its latency in milliseconds. */
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
     * Records a server error that came after the usual work. Requests that depend on other services fail so when those do,
     * so it counts for little, and a trial goes on.
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

    /** Records that a request has been in flight for longer than {@link #slowLimitMillis()} without an answer. */
    public void recordOverdue(long nowMillis) {
        updateSlowScore(true);
        evaluate(nowMillis, false);
    }

    /** Returns the latency in milliseconds above which a request counts as slow; infinite while unknown. */
    public double slowLimitMillis() {
        double baselineMillis = baseline.medianLatencyMillis();
        return baselineMillis <= 0
                ? Double.POSITIVE_INFINITY
                : Math.max(policy.minimumSlowMillis, baselineMillis * policy.slowFactor);
    }

    /** Returns the condition; an ejection that is over turns into a trial, and a trial that nobody tests ends. */
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

    /** Returns how bad the upstream is, from 0 for a healthy one to 8; coarse, so that it changes seldom. */
    public int severity() {
        return (int) Math.ceil(SEVERITY_AT_EJECTION * Math.max(failureScore, slowScore) / policy.ejectionScore);
    }

    /** Returns the time at which an ejection ends and the trial begins; in the past for one that isn't out. */
    public long ejectedUntilMillis() {
        return ejectedUntilMillis;
    }

    /** Returns whether the last ejection was for failures, not for slowness alone. */
    public boolean isFailing() {
        return condition != HealthCondition.HEALTHY && failureScore >= policy.ejectionScore;
    }

    /** Returns the work since the last call for the group's baseline, and some of the work before it. */
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
     * Returns whether a failure came too fast for an ordinary error, which comes after some work: so fails an upstream that
     * doesn't work at all. Never true if the policy doesn't say what is fast.
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
        long ejectionMillis = repeatedEjections == 0
                ? policy.firstEjectionMillis
                : Math.min(
                        policy.longestEjectionMillis,
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

    /** How a request ended, seen from the home of the upstream. */
    public enum Outcome {
        /** A whole answer that isn't a server error. */
        SUCCESS,
        /** A server error, a cut or crossed answer, a refused or lost connection, or a missed deadline. */
        FAILURE
    }
}
