package org.sardineshunt.engine.backendserver;

import java.util.HashMap;
import java.util.Map;

import org.sardineshunt.coordination.health.Baseline;
import org.sardineshunt.coordination.health.HealthPolicy;
import org.sardineshunt.coordination.health.UpstreamHealth;
import org.sardineshunt.coordination.health.UpstreamHealth.Outcome;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.EngineContext;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.MetricRegistry;
import org.sardineshunt.engine.http.HttpOutcome;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;

/** Learns from the outcomes of attempts how well the upstream does and which requests crash it. Control thread only. */
final class UpstreamMonitor {
    private static final long CRASH_WINDOW_MILLIS = 3_000;
    private static final double AMPLE_TIME_SERVICE_FACTOR = 4;
    private static final double SERVICE_TIME_SMOOTHING_FACTOR = 0.1;
    private static final double FAILURE_SHARE_SMOOTHING_FACTOR = 0.05;

    // Latencies are judged in thousandths of the route's target: a usual one takes a sixth of it, a slow one all.
    private static final double BASELINE_LATENCY_PERMILLE = 167;
    private static final double SLOW_FACTOR = 6;

    // A gray episode lasts several seconds; by then an upstream that nobody could test is rather sound than gray.
    private static final long UNTESTED_TRIAL_MILLIS = 5_000;

    private final ControlEventLoop control;
    private final EventLog log;
    private final MetricRegistry counters;
    private final CrashingRequestDetector crashDetector;
    private final BaselineProvider baselines;
    private final HomeService.Listener listener;
    private final Map<Long, Long> disconnectedAtMillis = new HashMap<>();
    private final Map<String, Double> meanMillisByRoute = new HashMap<>();
    private String upstreamId = "";
    private UpstreamHealth health = newHealth();
    private double meanMillis;
    private double meanSquare;
    private double failureShare;

    UpstreamMonitor(EngineContext context, BaselineProvider baselines, HomeService.Listener listener) {
        control = context.control();
        log = context.log();
        counters = context.metrics();
        crashDetector = context.crashDetector();
        this.baselines = baselines;
        this.listener = listener;
    }

    /** Begins anew for another start of the upstream. */
    void handleNewStart(String newUpstreamId) {
        recordSuspectedCrashes("a new start '" + newUpstreamId + "' was announced");
        upstreamId = newUpstreamId;
        health = newHealth();
        failureShare = 0;
    }

    HealthCondition condition() {
        return health.condition(control.nowMillis());
    }

    /**
     * Returns the mean time of the request that holds a slot at a random moment, 0 while unknown: long requests count in
     * proportion to their length, so that many trivial ones don't hide them.
     */
    double lengthBiasedServiceMillis() {
        return meanMillis > 0 ? meanSquare / meanMillis : 0;
    }

    /** Returns how long a request of a route usually takes, or one of any route for a new one; 0 while unknown. */
    double expectedServiceMillis(String route) {
        return meanMillisByRoute.getOrDefault(route, meanMillis);
    }

    boolean isFailing() {
        return health.isFailing();
    }

    int failurePermille() {
        return (int) (failureShare * 1_000);
    }

    /** Counts an attempt as evidence when it runs for longer than its route's answers should take. */
    void scheduleOverdueCheck(PendingAttempt pending) {
        long limitMillis = pending.attempt().getTargetMillis();
        if (limitMillis == 0 || limitMillis >= pending.attempt().getLeftMillis()) {
            return;
        }
        UpstreamHealth watchedHealth = health;
        control.after(limitMillis + 1, () -> {
            if (watchedHealth == health && pending.tryMarkOverdue(control.nowMillis(), limitMillis)) {
                updateBaseline(pending.attempt());
                recordEvidence(() -> health.recordOverdue(control.nowMillis()));
            }
        });
    }

    /** Takes the outcome of an attempt. */
    void recordOutcome(PendingAttempt pending, HttpOutcome outcome, boolean success, long durationMillis) {
        long now = control.nowMillis();
        Attempt attempt = pending.attempt();
        if (outcome instanceof HttpOutcome.Failed failed && !countsAgainstUpstream(attempt, failed)) {
            return;
        }
        if (UpstreamHttpMapper.isDeadlinePassed(outcome) && !hadAmpleTime(attempt)) {
            return;
        }
        if (UpstreamHttpMapper.isMisdirected(outcome) || pending.wasOverdue() && success) {
            return;
        }
        failureShare += ((success ? 0 : 1) - failureShare) * FAILURE_SHARE_SMOOTHING_FACTOR;
        if (success) {
            crashDetector.recordAnswer(String.valueOf(attempt.getFingerprint()));
            meanMillisByRoute.merge(
                    attempt.getRoute(),
                    (double) durationMillis,
                    (mean, latest) -> mean + (latest - mean) * SERVICE_TIME_SMOOTHING_FACTOR);
            double weight = meanMillis == 0 ? 1 : SERVICE_TIME_SMOOTHING_FACTOR;
            meanMillis += (durationMillis - meanMillis) * weight;
            meanSquare += ((double) durationMillis * durationMillis - meanSquare) * weight;
        }
        updateBaseline(attempt);
        double latencyPermille = attempt.getTargetMillis() == 0
                ? BASELINE_LATENCY_PERMILLE
                : 1_000.0 * durationMillis / attempt.getTargetMillis();
        if (outcome instanceof HttpOutcome.Responded && !success && !health.isFastFailure(latencyPermille)) {
            recordEvidence(() -> health.recordErrorAfterWork(now));
        } else {
            recordEvidence(() -> health.record(now, success ? Outcome.SUCCESS : Outcome.FAILURE, latencyPermille));
        }
    }

    // Routes of one service take different times, so latencies are compared as parts of the route's target.
    private void updateBaseline(Attempt attempt) {
        Baseline groupBaseline = baselines.baseline(attempt.getService());
        health.updateBaseline(
                new Baseline(groupBaseline.failureShare(), BASELINE_LATENCY_PERMILLE, groupBaseline.upstreams()));
    }

    // A request whose connection broke shortly before its upstream was found down is suspected to have crashed it.
    private void recordSuspectedCrashes(String cause) {
        long now = control.nowMillis();
        disconnectedAtMillis.values().removeIf(atMillis -> now - atMillis > CRASH_WINDOW_MILLIS);
        disconnectedAtMillis.keySet().forEach(fingerprint -> {
            if (crashDetector.recordCrash(now, String.valueOf(fingerprint), upstreamId)) {
                log.event("upstream-crashed")
                        .with("upstream", upstreamId)
                        .with("fingerprint", Long.toHexString(fingerprint))
                        .with("cause", cause)
                        .write();
                listener.crashSuspected(fingerprint, upstreamId);
            }
        });
        disconnectedAtMillis.clear();
    }

    private boolean countsAgainstUpstream(Attempt attempt, HttpOutcome.Failed failed) {
        return switch (failed.kind()) {
            case CONNECT -> {
                recordSuspectedCrashes("the upstream refuses connections");
                yield false;
            }
            case CLOSED -> {
                disconnectedAtMillis.put(attempt.getFingerprint(), control.nowMillis());
                yield true;
            }
            case TIMEOUT -> hadAmpleTime(attempt);
            case MALFORMED -> true;
            case CANCELLED -> false;
        };
    }

    // A request that was given less time than a usual one takes says nothing of the upstream.
    private boolean hadAmpleTime(Attempt attempt) {
        return attempt.getLeftMillis() >= AMPLE_TIME_SERVICE_FACTOR * expectedServiceMillis(attempt.getRoute());
    }

    private void recordEvidence(Runnable evidence) {
        HealthCondition before = condition();
        evidence.run();
        HealthCondition after = condition();
        if (before != after) {
            log.event("upstream-health")
                    .with("upstream", upstreamId)
                    .with("before", before.name())
                    .with("after", after.name())
                    .with("severity", health.severity())
                    .with("failurePermille", failurePermille())
                    .write();
            counters.count("health_changes", after.name());
            listener.availabilityChanged();
            scheduleTrialNotifications(after);
        }
    }

    // Nobody sends work to an ejected upstream, so nobody would learn from answers that its trial has begun or ended.
    private void scheduleTrialNotifications(HealthCondition condition) {
        if (condition == HealthCondition.UNHEALTHY) {
            long ejectionLeftMillis = health.ejectedUntilMillis() - control.nowMillis();
            control.after(ejectionLeftMillis + 1, listener::availabilityChanged);
            control.after(ejectionLeftMillis + UNTESTED_TRIAL_MILLIS + 1, listener::availabilityChanged);
        }
    }

    private static UpstreamHealth newHealth() {
        return new UpstreamHealth(HealthPolicy.builder()
                .minimumBaselineFailureShare(0.012)
                .unhealthyFailureShare(0.4)
                .ejectionScore(6)
                .slowFactor(SLOW_FACTOR)
                .ejectionMillis(1_000, 1_300, 2_600)
                .trialSuccesses(2)
                .untestedTrialMillis(UNTESTED_TRIAL_MILLIS)
                .fastFailureLatencyRatio(0.1)
                .build());
    }
}
