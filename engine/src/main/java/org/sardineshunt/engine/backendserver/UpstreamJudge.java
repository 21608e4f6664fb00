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
final class UpstreamJudge {
    private static final long CRASH_WINDOW_MILLIS = 3_000;
    private static final double AMPLE_SERVICE_TIMES = 4;
    private static final double SERVICE_MILLIS_WEIGHT = 0.1;
    private static final double FAILURE_WEIGHT = 0.05;

    // Latencies are judged in thousandths of the route's target: a usual one takes a sixth of it, a slow one all.
    private static final double USUAL_PERMILLE = 167;
    private static final double SLOW_FACTOR = 6;

    // A gray episode lasts several seconds; by then an upstream that nobody could test is rather sound than gray.
    private static final long UNTESTED_TRIAL_MILLIS = 5_000;

    private final ControlEventLoop control;
    private final EventLog log;
    private final MetricRegistry counters;
    private final CrashingRequestDetector crashes;
    private final GroupBaseline baseline;
    private final HomeService.Listener listener;
    private final Map<Long, Long> brokenAtMillis = new HashMap<>();
    private final Map<String, Double> millisByRoute = new HashMap<>();
    private String upstreamId = "";
    private UpstreamHealth health = newHealth();
    private double meanMillis;
    private double meanSquare;
    private double failureShare;

    UpstreamJudge(EngineContext context, GroupBaseline baseline, HomeService.Listener listener) {
        control = context.control();
        log = context.log();
        counters = context.metrics();
        crashes = context.crashDetector();
        this.baseline = baseline;
        this.listener = listener;
    }

    /** Begins anew for another start of the upstream. */
    void startedAgain(String newUpstreamId) {
        blameBroken("a new start '" + newUpstreamId + "' was announced");
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
    double serviceMillis() {
        return meanMillis > 0 ? meanSquare / meanMillis : 0;
    }

    /** Returns how long a request of a route usually takes, or one of any route for a new one; 0 while unknown. */
    double serviceMillis(String route) {
        return millisByRoute.getOrDefault(route, meanMillis);
    }

    boolean failing() {
        return health.isFailing();
    }

    int failurePermille() {
        return (int) (failureShare * 1_000);
    }

    /** Counts an attempt as evidence when it runs for longer than its route's answers should take. */
    void watch(PendingAttempt work) {
        long limit = work.attempt().getTargetMillis();
        if (limit == 0 || limit >= work.attempt().getLeftMillis()) {
            return;
        }
        UpstreamHealth watched = health;
        control.after(limit + 1, () -> {
            if (watched == health && work.becomesOverdue(control.nowMillis(), limit)) {
                setBaseline(work.attempt());
                note(() -> health.recordOverdue(control.nowMillis()));
            }
        });
    }

    /** Takes the outcome of an attempt. */
    void ended(PendingAttempt work, HttpOutcome outcome, boolean success, long millis) {
        long now = control.nowMillis();
        Attempt attempt = work.attempt();
        if (outcome instanceof HttpOutcome.Failed failed && !speaksOfUpstream(attempt, failed)) {
            return;
        }
        if (UpstreamCall.isDeadlinePassed(outcome) && !hadAmpleTime(attempt)) {
            return;
        }
        if (UpstreamCall.isMisdirected(outcome) || work.wasOverdue() && success) {
            return;
        }
        failureShare += ((success ? 0 : 1) - failureShare) * FAILURE_WEIGHT;
        if (success) {
            crashes.recordAnswer(String.valueOf(attempt.getFingerprint()));
            millisByRoute.merge(
                    attempt.getRoute(),
                    (double) millis,
                    (known, latest) -> known + (latest - known) * SERVICE_MILLIS_WEIGHT);
            double weight = meanMillis == 0 ? 1 : SERVICE_MILLIS_WEIGHT;
            meanMillis += (millis - meanMillis) * weight;
            meanSquare += ((double) millis * millis - meanSquare) * weight;
        }
        setBaseline(attempt);
        double permille =
                attempt.getTargetMillis() == 0 ? USUAL_PERMILLE : 1_000.0 * millis / attempt.getTargetMillis();
        if (outcome instanceof HttpOutcome.Responded && !success && !health.isFastFailure(permille)) {
            note(() -> health.recordErrorAfterWork(now));
        } else {
            note(() -> health.record(now, success ? Outcome.SUCCESS : Outcome.FAILURE, permille));
        }
    }

    // Routes of one service take different times, so latencies are compared as parts of the route's target.
    private void setBaseline(Attempt attempt) {
        Baseline group = baseline.of(attempt.getService());
        health.updateBaseline(new Baseline(group.failureShare(), USUAL_PERMILLE, group.upstreams()));
    }

    // A request whose connection broke shortly before its upstream was found down is suspected to have crashed it.
    private void blameBroken(String cause) {
        long now = control.nowMillis();
        brokenAtMillis.values().removeIf(at -> now - at > CRASH_WINDOW_MILLIS);
        brokenAtMillis.keySet().forEach(fingerprint -> {
            if (crashes.recordCrash(now, String.valueOf(fingerprint), upstreamId)) {
                log.event("upstream-crashed")
                        .with("upstream", upstreamId)
                        .with("fingerprint", Long.toHexString(fingerprint))
                        .with("cause", cause)
                        .write();
                listener.crashSuspected(fingerprint, upstreamId);
            }
        });
        brokenAtMillis.clear();
    }

    private boolean speaksOfUpstream(Attempt attempt, HttpOutcome.Failed failed) {
        return switch (failed.kind()) {
            case CONNECT -> {
                blameBroken("the upstream refuses connections");
                yield false;
            }
            case CLOSED -> {
                brokenAtMillis.put(attempt.getFingerprint(), control.nowMillis());
                yield true;
            }
            case TIMEOUT -> hadAmpleTime(attempt);
            case MALFORMED -> true;
            case CANCELLED -> false;
        };
    }

    // A request that was given less time than a usual one takes says nothing of the upstream.
    private boolean hadAmpleTime(Attempt attempt) {
        return attempt.getLeftMillis() >= AMPLE_SERVICE_TIMES * serviceMillis(attempt.getRoute());
    }

    private void note(Runnable evidence) {
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
            tellTrial(after);
        }
    }

    // Nobody sends work to an ejected upstream, so nobody would learn from answers that its trial has begun or ended.
    private void tellTrial(HealthCondition condition) {
        if (condition == HealthCondition.UNHEALTHY) {
            long ejectedMillis = health.ejectedUntilMillis() - control.nowMillis();
            control.after(ejectedMillis + 1, listener::availabilityChanged);
            control.after(ejectedMillis + UNTESTED_TRIAL_MILLIS + 1, listener::availabilityChanged);
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
