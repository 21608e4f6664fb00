package org.sardineshunt.engine.backendserver;

import java.util.HashMap;
import java.util.Map;

import org.sardineshunt.coordination.health.Baseline;
import org.sardineshunt.coordination.health.HealthPolicy;
import org.sardineshunt.coordination.health.UpstreamHealth;
import org.sardineshunt.coordination.health.UpstreamHealth.Outcome;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.placement.ServiceTimeEstimate;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.EngineContext;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.MetricRegistry;
import org.sardineshunt.engine.http.HttpOutcome;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;

/**
 * Judges the health of the upstream by the outcomes of attempts, measures its service times and detects requests that
 * crash it. Confined to the control thread.
 */
final class UpstreamMonitor {
    // A request whose connection was lost at most this long before the upstream was found down may have crashed it.
    private static final long CRASH_WINDOW_MILLIS = 3_000;

    // A missed deadline counts against the upstream only if the request had this multiple of its service time.
    private static final double AMPLE_TIME_SERVICE_FACTOR = 4;

    // Assumed as long as no upstream of the service has reported a service time.
    private static final double INITIAL_SERVICE_MILLIS = 300;

    // Weight of the newest sample in the exponentially weighted mean.
    private static final double FAILURE_SHARE_SMOOTHING_FACTOR = 0.05;
    private static final double REFUSAL_SHARE_SMOOTHING_FACTOR = 0.5;

    // Two refusals in a row reach it, two other failures in a row undo it.
    private static final double REFUSING_SHARE = 0.7;

    // Latencies are judged in permille of the route's target: a usual one is a sixth of it, a slow one exceeds it.
    private static final double BASELINE_LATENCY_PERMILLE = 167;
    private static final double SLOW_FACTOR = 6;

    // A gray failure lasts several seconds; an upstream that no request has tested by then has more likely recovered.
    private static final long UNTESTED_TRIAL_MILLIS = 5_000;

    private final ControlEventLoop control;
    private final EventLog log;
    private final MetricRegistry metrics;
    private final CrashingRequestDetector crashDetector;
    private final BaselineProvider baselines;
    private final HomeService.Listener listener;
    private final Map<Long, Long> disconnectMillisByFingerprint = new HashMap<>();
    private final Map<String, ServiceTimeEstimate> serviceTimeByRoute = new HashMap<>();
    private final ServiceTimeEstimate serviceTime = new ServiceTimeEstimate();
    private String upstreamId = "";
    private UpstreamHealth health = newHealth();
    private double failureShare;

    // Share of the recent failures that were refusals, which prove that the request was not run.
    private double refusalShare;

    UpstreamMonitor(EngineContext context, BaselineProvider baselines, HomeService.Listener listener) {
        control = context.control();
        log = context.log();
        metrics = context.metrics();
        crashDetector = context.crashDetector();
        this.baselines = baselines;
        this.listener = listener;
    }

    /** Starts over with another start of the upstream, which counts as healthy; measured service times are kept. */
    void handleNewStart(String newUpstreamId) {
        recordSuspectedCrashes("a new start '" + newUpstreamId + "' was announced");
        upstreamId = newUpstreamId;
        health = newHealth();
        failureShare = 0;
        refusalShare = 0;
    }

    HealthCondition condition() {
        return health.condition(control.nowMillis());
    }

    /**
     * Returns the mean service time of the request that holds a slot at a random moment; 0 while unknown. Requests
     * count in proportion to their service time, so that many trivial ones don't hide the long ones.
     */
    double lengthBiasedServiceMillis() {
        return serviceTime.lengthBiasedMillis();
    }

    /** Returns the mean service time of a route, or that of all routes for a new one; 0 while unknown. */
    double expectedServiceMillis(String route) {
        return serviceTimeByRoute.getOrDefault(route, serviceTime).meanMillis();
    }

    /**
     * Returns whether the upstream is unhealthy because it fails requests that it may have run. One that refuses them
     * costs its callers little, since each can be sent elsewhere, so it stays the last resort while others are full:
     * when all upstreams of a service refused half of their requests at once, the few that weren't ejected yet got all.
     */
    boolean isFailing() {
        return health.isFailing() && refusalShare < REFUSING_SHARE;
    }

    int failurePermille() {
        return (int) (failureShare * 1_000);
    }

    /** Counts a started attempt as slow as soon as it has run for longer than its route's target. */
    void scheduleOverdueCheck(PendingAttempt pending) {
        long targetMillis = pending.attempt().getTargetMillis();
        if (targetMillis == 0 || targetMillis >= pending.attempt().getLeftMillis()) {
            return;
        }
        // A new start of the upstream replaces the health; attempts of the earlier start don't count for it.
        UpstreamHealth watchedHealth = health;
        pending.addTimer(control.after(targetMillis + 1, () -> {
            if (watchedHealth == health && pending.tryMarkOverdue(control.nowMillis(), targetMillis)) {
                updateBaseline(pending.attempt());
                recordEvidence(() -> health.recordOverdue(control.nowMillis()));
            }
        }));
    }

    /**
     * Records the outcome of an attempt that was sent to the current start of the upstream.
     *
     * @param result what the outcome means for the health of the upstream
     */
    void recordOutcome(PendingAttempt pending, HttpOutcome outcome, Result result) {
        long now = control.nowMillis();
        boolean success = result.success();
        long durationMillis = result.durationMillis();
        Attempt attempt = pending.attempt();
        if (outcome instanceof HttpOutcome.Failed failed && !countsAgainstUpstream(attempt, failed)) {
            return;
        }
        if (UpstreamHttpMapper.isDeadlinePassed(outcome) && !hadAmpleTime(attempt)) {
            return;
        }
        // A late success has been counted as slow already.
        if (pending.wasOverdue() && success) {
            return;
        }
        failureShare += ((success ? 0 : 1) - failureShare) * FAILURE_SHARE_SMOOTHING_FACTOR;
        if (!success) {
            refusalShare += ((result.refused() ? 1 : 0) - refusalShare) * REFUSAL_SHARE_SMOOTHING_FACTOR;
        }
        if (success) {
            crashDetector.recordAnswer(String.valueOf(attempt.getFingerprint()));
        }
        Baseline groupBaseline = updateBaseline(attempt);
        if (success) {
            recordServiceTime(attempt, durationMillis, groupBaseline);
        }
        double latencyPermille = attempt.getTargetMillis() == 0
                ? BASELINE_LATENCY_PERMILLE
                : 1_000.0 * durationMillis / attempt.getTargetMillis();
        if (outcome instanceof HttpOutcome.Responded && !success && !health.isFastFailure(latencyPermille)) {
            recordEvidence(() -> health.recordErrorAfterWork(now));
        } else {
            recordEvidence(() -> health.record(now, success ? Outcome.SUCCESS : Outcome.FAILURE, latencyPermille));
        }
    }

    // The routes of a service have different latencies, so they are compared in permille of the route's target.
    private Baseline updateBaseline(Attempt attempt) {
        Baseline groupBaseline = baselines.baseline(attempt.getService());
        health.updateBaseline(
                new Baseline(groupBaseline.failureShare(), BASELINE_LATENCY_PERMILLE, groupBaseline.upstreams()));
        return groupBaseline;
    }

    private void recordServiceTime(Attempt attempt, long durationMillis, Baseline groupBaseline) {
        double groupMillis = groupBaseline.medianLatencyMillis();
        serviceTime.record(durationMillis, groupMillis > 0 ? groupMillis : INITIAL_SERVICE_MILLIS);
        serviceTimeByRoute
                .computeIfAbsent(attempt.getRoute(), route -> new ServiceTimeEstimate())
                .record(durationMillis, serviceTime.meanMillis());
    }

    // Suspects requests whose connection was lost shortly before the upstream was found down to have crashed it.
    private void recordSuspectedCrashes(String cause) {
        long now = control.nowMillis();
        disconnectMillisByFingerprint.values().removeIf(atMillis -> now - atMillis > CRASH_WINDOW_MILLIS);
        disconnectMillisByFingerprint.keySet().forEach(fingerprint -> {
            if (crashDetector.recordCrash(now, String.valueOf(fingerprint), upstreamId)) {
                log.event("upstream-crashed")
                        .with("upstream", upstreamId)
                        .with("fingerprint", Long.toHexString(fingerprint))
                        .with("cause", cause)
                        .write();
                listener.crashSuspected(fingerprint, upstreamId);
            }
        });
        disconnectMillisByFingerprint.clear();
    }

    // A refused connection is no evidence of health, because HomeService stops sending for a while then.
    private boolean countsAgainstUpstream(Attempt attempt, HttpOutcome.Failed failed) {
        return switch (failed.kind()) {
            case CONNECT -> {
                recordSuspectedCrashes("the upstream refuses connections");
                yield false;
            }
            case CLOSED -> {
                disconnectMillisByFingerprint.put(attempt.getFingerprint(), control.nowMillis());
                yield true;
            }
            case TIMEOUT -> hadAmpleTime(attempt);
            case MALFORMED, TOO_LARGE -> true;
            case CANCELLED, INVALID_REQUEST, MEMORY_SHORT -> false;
        };
    }

    // A request that is given too little time misses its deadline on a healthy upstream, too.
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
            metrics.count("health_changes", after.name());
            listener.availabilityChanged();
            scheduleTrialNotifications(after);
        }
    }

    // Other nodes learn of changes with answers but send no work to an ejected upstream, so the start and the end of
    // its trial are reported to them.
    private void scheduleTrialNotifications(HealthCondition condition) {
        if (condition == HealthCondition.UNHEALTHY) {
            long ejectionLeftMillis = health.ejectedUntilMillis() - control.nowMillis();
            control.after(ejectionLeftMillis + 1, listener::availabilityChanged);
            control.after(ejectionLeftMillis + UNTESTED_TRIAL_MILLIS + 1, listener::availabilityChanged);
        }
    }

    // At the lowest baseline failure share two failures in a row eject the upstream, or one fast one, which counts
    // twice. Server errors that come after the usual work count less.
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

    /**
     * What an outcome means for the health of the upstream.
     *
     * @param success whether the upstream ran the request and its response is no server error
     * @param refused whether the upstream refused the request without running it
     * @param durationMillis time since the attempt was started
     */
    record Result(boolean success, boolean refused, long durationMillis) {}
}
