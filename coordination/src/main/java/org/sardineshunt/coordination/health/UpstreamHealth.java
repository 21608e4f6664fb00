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
    private static final int LATENCY_WINDOW = 64;
    private static final long NOT_SLOW = Long.MAX_VALUE;
    private static final double USUAL_SLOW_SHARE = 0.02;
    private static final double UNHEALTHY_SLOW_SHARE = 0.5;
    private static final double HIGHEST_ASSUMED_SHARE = 0.95;
    private static final double GROUP_FAILURE_FACTOR = 3;
    private static final double LATE_ERROR_SHARE = 0.15;
    private static final double SAMPLE_DECAY = 0.5;
    private static final int SEVERITY_STEPS = 4;

    // A group whose latency has grown by this is slow as a whole.
    private static final double GROUP_SLOWDOWN = 1.5;
    private static final int LEAST_SAMPLED = 3;

    // The second report covers only work from after the first; a busy group's reports are waited for a little longer.
    private static final int REPORTS_OF_GROUP = 2;
    private static final int REPORTS_MISSED = 3;

    private final HealthPolicy policy;
    private final double[] latencies = new double[LATENCY_WINDOW];
    private Baseline baseline = Baseline.UNKNOWN;
    private int latencyCount;
    private int sampledCount;
    private double usualBeforeSlowness;
    private long slowSinceMillis = NOT_SLOW;
    private int reportsWhileSlow;
    private double recentRequests;
    private double recentFailures;
    private double failureScore;
    private double slowScore;
    private HealthCondition condition = HealthCondition.HEALTHY;
    private long outUntilMillis;
    private long lastEjectionMillis = Long.MIN_VALUE / 2;
    private int relapses;
    private int successesOnTrial;

    /** Creates the health of an upstream that has done no work yet and counts as healthy. */
    public UpstreamHealth(HealthPolicy policy) {
        this.policy = Objects.requireNonNull(policy, "policy");
    }

    /** Sets what is usual in the upstream's group. */
    public void updateBaseline(Baseline usual) {
        baseline = Objects.requireNonNull(usual, "usual");
        if (slowScore > 0 && usual.medianLatencyMillis() >= GROUP_SLOWDOWN * usualBeforeSlowness) {
            slowScore = 0;
            slowSinceMillis = NOT_SLOW;
        }
        reportsWhileSlow++;
    }

    /** Records a finished request and its latency in milliseconds. */
    public void record(long nowMillis, Outcome outcome, double latencyMillis) {
        boolean failed = outcome == Outcome.FAILURE;
        recentRequests++;
        recentFailures += failed ? 1 : 0;
        addFailureEvidence(failed);
        if (failed && isFastFailure(latencyMillis)) {
            addFailureEvidence(true);
        }
        if (!failed) {
            addSlowEvidence(latencyMillis > slowLimitMillis());
            latencies[latencyCount++ % LATENCY_WINDOW] = latencyMillis;
        }
        boolean good = !failed && latencyMillis <= slowLimitMillis();
        judge(nowMillis, good);
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
        double usual = Math.max(LATE_ERROR_SHARE, baseline.failureShare());
        failureScore = step(failureScore, true, usual, Math.min(HIGHEST_ASSUMED_SHARE, usual * GROUP_FAILURE_FACTOR));
        judge(nowMillis, false);
    }

    /** Records that a request has been in flight for longer than {@link #slowLimitMillis()} without an answer. */
    public void recordOverdue(long nowMillis) {
        addSlowEvidence(true);
        judge(nowMillis, false);
    }

    /** Returns the latency in milliseconds above which a request counts as slow; infinite while unknown. */
    public double slowLimitMillis() {
        double usual = baseline.medianLatencyMillis();
        return usual <= 0 ? Double.POSITIVE_INFINITY : Math.max(policy.minimumSlowMillis, usual * policy.slowFactor);
    }

    /** Returns the condition; an ejection that is over turns into a trial, and a trial that nobody tests ends. */
    public HealthCondition condition(long nowMillis) {
        if (condition == HealthCondition.UNHEALTHY && nowMillis >= outUntilMillis) {
            condition = HealthCondition.TRIAL;
            successesOnTrial = 0;
        }
        boolean untested = condition == HealthCondition.TRIAL && successesOnTrial == 0;
        if (untested && nowMillis - outUntilMillis >= policy.untestedTrialMillis) {
            recover();
        }
        return condition;
    }

    /** Returns how bad the upstream is, from 0 for a healthy one to 8; coarse, so that it changes seldom. */
    public int severity() {
        return (int) Math.ceil(SEVERITY_STEPS * Math.max(failureScore, slowScore) / policy.ejectionScore);
    }

    /** Returns the time at which an ejection ends and the trial begins; in the past for one that isn't out. */
    public long ejectedUntilMillis() {
        return outUntilMillis;
    }

    /** Returns whether the last ejection was for failures, not for slowness alone. */
    public boolean isFailing() {
        return condition != HealthCondition.HEALTHY && failureScore >= policy.ejectionScore;
    }

    /** Returns the work since the last call for the group's baseline, and some of the work before it. */
    public Baseline.Sample sample() {
        int fresh = latencyCount - sampledCount;
        sampledCount = latencyCount;
        Baseline.Sample sample = new Baseline.Sample(
                (int) Math.round(recentRequests),
                (int) Math.round(recentFailures),
                median(fresh >= LEAST_SAMPLED ? fresh : LATENCY_WINDOW));
        recentRequests *= SAMPLE_DECAY;
        recentFailures *= SAMPLE_DECAY;
        return sample;
    }

    /**
     * Returns whether a failure came too fast for an ordinary error, which comes after some work: so fails an upstream that
     * doesn't work at all. Never true if the policy doesn't say what is fast.
     */
    public boolean isFastFailure(double latencyMillis) {
        double usual = baseline.medianLatencyMillis() > 0 ? baseline.medianLatencyMillis() : median(LATENCY_WINDOW);
        return policy.fastFailureLatencyRatio > 0
                && usual > 0
                && latencyMillis < usual * policy.fastFailureLatencyRatio;
    }

    private void addFailureEvidence(boolean failed) {
        double usual = Math.max(policy.minimumBaselineFailureShare, baseline.failureShare());
        double unhealthy =
                Math.min(HIGHEST_ASSUMED_SHARE, Math.max(policy.unhealthyFailureShare, usual * GROUP_FAILURE_FACTOR));
        failureScore = step(failureScore, failed, Math.min(usual, unhealthy / 2), unhealthy);
    }

    private void addSlowEvidence(boolean slow) {
        if (slowScore == 0) {
            usualBeforeSlowness = baseline.medianLatencyMillis();
        }
        slowScore = step(slowScore, slow, USUAL_SLOW_SHARE, UNHEALTHY_SLOW_SHARE);
    }

    private double step(double score, boolean bad, double usual, double unhealthy) {
        double ratio = bad ? Math.log(unhealthy / usual) : Math.log((1 - unhealthy) / (1 - usual));
        return Math.min(2 * policy.ejectionScore, Math.max(0, score + ratio));
    }

    private void judge(long nowMillis, boolean good) {
        if (condition(nowMillis) == HealthCondition.TRIAL) {
            judgeTrial(nowMillis, good);
            return;
        }
        if (condition == HealthCondition.HEALTHY
                && (failureScore >= policy.ejectionScore || isSlowForLong(nowMillis))) {
            eject(nowMillis);
        }
    }

    private boolean isSlowForLong(long nowMillis) {
        if (slowScore < policy.ejectionScore) {
            slowSinceMillis = NOT_SLOW;
            return false;
        }
        if (slowSinceMillis == NOT_SLOW) {
            slowSinceMillis = nowMillis;
            reportsWhileSlow = 0;
        }
        return reportsWhileSlow >= REPORTS_OF_GROUP
                || nowMillis - slowSinceMillis >= REPORTS_MISSED * policy.maximumBaselineAgeMillis;
    }

    private void judgeTrial(long nowMillis, boolean good) {
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
        boolean relapse = nowMillis - lastEjectionMillis < policy.relapseWindowMillis;
        relapses = relapse ? relapses + 1 : 0;
        long millis = relapses == 0
                ? policy.firstEjectionMillis
                : Math.min(policy.longestEjectionMillis, policy.repeatedEjectionMillis << Math.min(relapses - 1, 10));
        lastEjectionMillis = nowMillis;
        outUntilMillis = nowMillis + millis;
        condition = HealthCondition.UNHEALTHY;
    }

    private double median(int newest) {
        int count = Math.min(newest, Math.min(latencyCount, LATENCY_WINDOW));
        if (count == 0) {
            return 0;
        }
        double[] sorted = IntStream.rangeClosed(1, count)
                .mapToDouble(back -> latencies[(latencyCount - back) % LATENCY_WINDOW])
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
