package org.sardineshunt.engine.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.placement.HomeView;
import org.sardineshunt.coordination.retry.HedgingPolicy;
import org.sardineshunt.engine.EngineContext;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.MetricRegistry;

/**
 * Sends a second attempt of an idempotent request to another home if the first one is slow compared with the recent
 * response times of the service at this entry. Does nothing if the share of hedges in the settings is 0. Confined to the
 * control thread.
 */
final class Hedging {
    // A timer that is later than this follows a pause of the process, and the response may wait to be read.
    private static final long PAUSE_MILLIS = 300;

    private final TimerService timers;
    private final EventLog log;
    private final MetricRegistry metrics;
    private final Random random;
    private final HomeRegistry homeRegistry;
    private final RetryDecision retryDecision;
    private final Function<AdmittedRequest, List<HomeView>> homes;
    private final Sender sender;
    private final double share;
    private final Map<String, ServiceState> stateByService = new HashMap<>();

    /**
     * Creates an object without response times.
     *
     * @param retryDecision its retry budgets pay for the hedges, too
     * @param homes returns the homes that a request may go to
     * @param sender sends the hedges
     */
    Hedging(
            EngineContext context,
            HomeRegistry homeRegistry,
            RetryDecision retryDecision,
            Function<AdmittedRequest, List<HomeView>> homes,
            Sender sender) {
        timers = context.control();
        log = context.log();
        metrics = context.metrics();
        random = context.random();
        share = context.settings().limits().hedgeShare();
        this.homeRegistry = homeRegistry;
        this.retryDecision = retryDecision;
        this.homes = homes;
        this.sender = sender;
    }

    /** Counts a new request, which adds to the hedges that its service may have. */
    void recordRequest(AdmittedRequest request) {
        if (share > 0) {
            state(request).policy.recordRequest();
        }
    }

    /**
     * Records that an upstream has answered an attempt, or that it was cancelled. Cancelled attempts count with their
     * time so far, because the percentiles of the others would fall with each hedge and bring on further ones.
     *
     * @param sentMillis when the attempt was sent
     */
    void recordTime(AdmittedRequest request, long sentMillis) {
        if (share > 0) {
            long now = timers.nowMillis();
            state(request).times.record(now, now - sentMillis);
        }
    }

    /** Starts to wait for the response of a request whose only attempt in flight was just sent. */
    void schedule(PendingRequest pending) {
        if (share <= 0 || !mayHedge(pending)) {
            return;
        }
        long now = timers.nowMillis();
        ServiceState state = state(pending.request());
        state.policy
                .delayMillis(state.times.times(now))
                .ifPresent(delayMillis ->
                        pending.setHedgeTimer(timers.after(delayMillis, () -> hedge(pending, now + delayMillis))));
    }

    /** Records which attempt of a request was answered first; ignored once its response has started. */
    void recordSuccess(PendingRequest pending, PendingRequest.SentAttempt attempt) {
        boolean first = !pending.hasResponseStarted();
        if (first
                && pending.hedgeAttemptId().filter(attempt.attemptId()::equals).isPresent()) {
            metrics.count("hedges", "won");
            log.event("hedge-won")
                    .with("request", pending.request().requestId())
                    .with("home", attempt.homeId())
                    .with("millis", timers.nowMillis() - pending.request().startedMillis())
                    .write();
        }
    }

    /** Records that one of two attempts failed, so that the other one is awaited. */
    void recordFailure(PendingRequest pending, PendingRequest.SentAttempt attempt, PendingRequest.Failure failure) {
        log.event("other-attempt-awaited")
                .with("request", pending.request().requestId())
                .with("home", attempt.homeId())
                .with("reason", failure.reason().label())
                .with("verdict", failure.verdict().label())
                .write();
    }

    /** Returns an action that does nothing from the second time on. */
    static Runnable once(Runnable action) {
        AtomicBoolean done = new AtomicBoolean();
        return () -> {
            if (!done.getAndSet(true)) {
                action.run();
            }
        };
    }

    private static boolean mayHedge(PendingRequest pending) {
        return !pending.hasEnded()
                && !pending.hasResponseStarted()
                && pending.request().exchange().streamedBody().isEmpty()
                && pending.request().route().idempotent()
                && pending.attemptsInFlight().size() == 1
                && pending.hedgeAttemptId().isEmpty()
                && pending.offeredAttempts() + 1 < pending.request().route().maximumAttempts();
    }

    private void hedge(PendingRequest pending, long dueMillis) {
        long now = timers.nowMillis();
        if (!mayHedge(pending) || now - dueMillis > PAUSE_MILLIS) {
            return;
        }
        AdmittedRequest request = pending.request();
        if (retryDecision.isSuspect(now, request)) {
            metrics.count("hedges_refused", "suspect");
            return;
        }
        ServiceState state = state(request);
        long leftMillis = request.deadlineMillis() - now;
        state.policy
                .decide(
                        state.times.times(now),
                        leftMillis,
                        homeRegistry.hedgeCandidates(homes.apply(request)),
                        pending.triedHomes(),
                        () -> retryDecision.tryAcquireRetry(request),
                        random::nextDouble)
                .peek(home -> send(pending, home, leftMillis))
                .peekLeft(refusal -> metrics.count("hedges_refused", refusal.label()));
    }

    private void send(PendingRequest pending, HomeView home, long leftMillis) {
        metrics.count("hedges", "sent");
        log.event("hedge-sent")
                .with("request", pending.request().requestId())
                .with("home", home.nodeId())
                .with("slowHome", pending.lastHomeId())
                .with("millis", timers.nowMillis() - pending.request().startedMillis())
                .with("leftMillis", leftMillis)
                .write();
        sender.send(pending, home, leftMillis);
        pending.markLastAttemptAsHedge();
    }

    private ServiceState state(AdmittedRequest request) {
        return stateByService.computeIfAbsent(request.service(), service -> new ServiceState(share));
    }

    /** Sends an attempt of a request to a home, which starts it in the state of the request. */
    interface Sender {
        void send(PendingRequest pending, HomeView home, long leftMillis);
    }

    private static final class ServiceState {
        private final HedgingPolicy policy;
        private final ResponseTimeWindow times = new ResponseTimeWindow();

        private ServiceState(double share) {
            policy = new HedgingPolicy(share);
        }
    }
}
