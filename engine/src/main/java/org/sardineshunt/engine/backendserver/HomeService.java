package org.sardineshunt.engine.backendserver;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.coordination.announcement.AnnouncementTracker;
import org.sardineshunt.coordination.idempotency.AttemptRegistry;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.limit.AdmissionQueue;
import org.sardineshunt.coordination.limit.WorkItem;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.EngineContext;
import org.sardineshunt.engine.EngineSettings;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.MetricRegistry;
import org.sardineshunt.engine.http.HttpClient;
import org.sardineshunt.engine.http.HttpOutcome;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.HomeLoad;
import org.sardineshunt.engine.protocol.EngineMessages.Inquiry;

/**
 * Hands work to the upstream beside this node: the only place from which that upstream is reached. Belongs to the
 * control thread.
 */
public final class HomeService {
    private static final long ANSWER_RETENTION_MILLIS = 5_000;
    private static final long LONGEST_IDLE_MILLIS = 4_000;
    private static final long FIRST_PAUSE_MILLIS = 400;
    private static final long LONGEST_PAUSE_MILLIS = 6_400;
    private static final long EXPIRY_PERIOD_MILLIS = 1_000;
    private static final long RECONSIDER_MILLIS = 400;
    private static final double SHORTEST_SERVICE_MILLIS = 50;
    private static final long UPSTREAM_MARGIN_MILLIS = 15;

    private final ControlEventLoop control;
    private final EventLog log;
    private final MetricRegistry counters;
    private final EngineSettings settings;
    private final HttpClient client;
    private final UpstreamCall upstreamCall;
    private final UpstreamJudge judge;
    private final Listener listener;
    private final CrashingRequestDetector crashes;
    private final AnnouncementTracker announcements = new AnnouncementTracker();
    private final AttemptRegistry<Answer> attempts = new AttemptRegistry<>(ANSWER_RETENTION_MILLIS);
    private final Map<String, PendingAttempt> pending = new HashMap<>();
    private final Map<String, Integer> rankByRunningRequest = new HashMap<>();
    private final long incarnation;
    private AdmissionQueue<PendingAttempt> gate = UpstreamGate.create();
    private String upstreamId = "";
    private String misdirectedId = "";
    private long pausedUntilMillis = Long.MIN_VALUE;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long loadSequence;
    private boolean stopping;
    private boolean expiryScheduled;

    /** Creates a home that knows no upstream. */
    public HomeService(EngineContext context, HttpClient client, GroupBaseline baseline, Listener listener) {
        control = context.control();
        log = context.log();
        counters = context.metrics();
        settings = context.settings();
        crashes = context.crashDetector();
        incarnation = context.incarnation();
        this.client = client;
        this.listener = listener;
        judge = new UpstreamJudge(context, baseline, listener);
        upstreamCall = new UpstreamCall(settings.headers());
    }

    /** Returns what the upstream last said of itself. */
    public Optional<Announcement> announcement() {
        return announcements.current();
    }

    /** Takes an announcement; returns whether it changed what other nodes must know. */
    public boolean recordAnnouncement(Announcement announcement) {
        Optional<Announcement> before = announcements.current();
        if (!announcements.merge(announcement)) {
            return false;
        }
        return adopt(before);
    }

    /** Takes the news that the upstream leaves; returns whether it changed what other nodes must know. */
    public boolean recordLeave(String id, long born) {
        Optional<Announcement> before = announcements.current();
        return announcements.markLeft(id, born, System.currentTimeMillis()) && adopt(before);
    }

    /** Refuses all further attempts; those at hand go on. */
    public void stopAccepting() {
        stopping = true;
        refuseWaiting(Reason.SHUTTING_DOWN);
        listener.availabilityChanged();
    }

    /** Returns how many attempts wait or run. */
    public int pendingAttempts() {
        return pending.size();
    }

    /** Returns the rank of a request that the upstream runs now; empty if it runs none such. */
    public OptionalInt rankOfRunningRequest(String requestId) {
        Integer rank = rankByRunningRequest.get(requestId);
        return rank == null ? OptionalInt.empty() : OptionalInt.of(rank);
    }

    /** Runs, queues or refuses an attempt; returns an action that cancels it. */
    public Runnable attempt(Attempt attempt, Consumer<Answer> onAnswer) {
        long now = control.nowMillis();
        String id = attempt.getAttemptId();
        if (attempts.recordArrival(id) != AttemptRegistry.Arrival.ACCEPTED) {
            onAnswer.accept(refusal(attempt, Reason.DUPLICATE_ATTEMPT));
            return () -> {};
        }
        PendingAttempt work = new PendingAttempt(attempt, now, onAnswer);
        pending.put(id, work);
        scheduleExpiry();
        Optional<Reason> objection = objection(now, attempt);
        if (objection.isPresent()) {
            refuse(work, objection.get());
            return () -> {};
        }
        startWaiting(now);
        double serviceMillis = judge.serviceMillis(attempt.getRoute());
        WorkItem<PendingAttempt> waiting = UpstreamGate.work(work, serviceMillis);
        Either<Reason, Boolean> offered = gate.offer(now, waiting);
        if (offered.isLeft()) {
            refuse(work, offered.getLeft());
            return () -> {};
        }
        if (offered.get()) {
            start(work);
        } else {
            double needed = Math.max(SHORTEST_SERVICE_MILLIS, serviceMillis);
            control.after((long) Math.max(1, attempt.getLeftMillis() - needed), () -> giveUpWaiting(work));
            long lateAfter = (long) (waiting.dueMillis() - now - serviceMillis);
            if (lateAfter > 0 && waiting.dueMillis() < waiting.deadlineMillis()) {
                control.after(lateAfter + 1, () -> reconsider(work));
            }
        }
        listener.loadChanged();
        return () -> cancel(id);
    }

    /** Tells the end of an attempt whose link was lost; one that hasn't started never will. */
    public void inquire(Inquiry inquiry, Consumer<Answer> onAnswer) {
        long now = control.nowMillis();
        String id = inquiry.getAttemptId();
        if (inquiry.getHomeIncarnation() != incarnation) {
            onAnswer.accept(UpstreamCall.failure(Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, true)
                    .build());
            return;
        }
        AttemptRegistry.Abandonment<Answer> known =
                attempts.abandon(now, id, inquiry.getLeftMillis() + ANSWER_RETENTION_MILLIS);
        switch (known.state()) {
            case FINISHED -> onAnswer.accept(known.answer());
            case RUNNING -> pending.get(id).alsoTell(onAnswer);
            default -> {
                gate.remove(id);
                pending.remove(id);
                onAnswer.accept(UpstreamCall.failure(Verdict.NOT_RUN, Reason.ABANDONED, false)
                        .setLoad(createLoadReport())
                        .build());
            }
        }
    }

    /** Returns the load and health of the upstream for other nodes. */
    public HomeLoad createLoadReport() {
        long now = control.nowMillis();
        int slots = announcements.current().map(Announcement::slots).orElse(0);
        return HomeLoad.newBuilder()
                .setInFlight(gate.inFlight())
                .setWaiting(gate.queued())
                .setSlots(slots)
                .setServiceMillis((int) judge.serviceMillis())
                .setCondition(judge.condition().ordinal())
                .setAccepting(isAccepting(now))
                .setFailing(judge.failing())
                .addAllWaitMillis(UpstreamGate.waitMillis(gate))
                .setFailurePermille(judge.failurePermille())
                .setSequence(++loadSequence)
                .setIncarnation(incarnation)
                .build();
    }

    private boolean adopt(Optional<Announcement> before) {
        Announcement now = announcements.current().orElseThrow();
        boolean otherStart = before.map(
                        old -> !old.id().equals(now.id()) || old.startedEpochMillis() != now.startedEpochMillis())
                .orElse(true);
        boolean otherPhase = before.map(old -> old.phase() != now.phase()).orElse(true);
        pausedUntilMillis = Long.MIN_VALUE;
        pauseMillis = FIRST_PAUSE_MILLIS;
        misdirectedId = "";
        if (otherStart) {
            startedAgain(now);
        }
        if (now.phase() != Phase.READY) {
            refuseWaiting(Reason.DRAINING);
        }
        if (otherStart || otherPhase) {
            log.event("upstream-announced")
                    .with("upstream", now.id())
                    .with("service", now.service())
                    .with("phase", now.phase().name())
                    .with("sequence", now.sequence())
                    .with("born", now.startedEpochMillis())
                    .write();
            listener.availabilityChanged();
        }
        startWaiting(control.nowMillis());
        return otherStart || otherPhase;
    }

    private void startedAgain(Announcement now) {
        refuseWaiting(Reason.NO_UPSTREAM);
        client.closeIdleConnections(settings.upstreamAddress());
        upstreamId = now.id();
        judge.startedAgain(now.id());
    }

    private Optional<Reason> objection(long now, Attempt attempt) {
        Optional<Announcement> current = announcements.current();
        if (stopping) {
            return Optional.of(Reason.SHUTTING_DOWN);
        }
        if (current.isEmpty() || !current.get().service().equals(attempt.getService())) {
            return Optional.of(Reason.NO_UPSTREAM);
        }
        if (current.get().phase() != Phase.READY) {
            return Optional.of(Reason.DRAINING);
        }
        if (!isAccepting(now)) {
            return Optional.of(Reason.BACKEND_SERVER_REFUSED);
        }
        if (!attempt.getLastResort() && !fits(judge.condition(), attempt)) {
            return Optional.of(Reason.OUT_OF_ROTATION);
        }
        return crashes.mustRefuse(now, String.valueOf(attempt.getFingerprint()))
                ? Optional.of(Reason.CRASHING_REQUEST)
                : Optional.empty();
    }

    // A trial takes one idempotent request at a time: entries that know the same would all send one.
    private boolean fits(HealthCondition condition, Attempt attempt) {
        boolean idle = gate.inFlight() == 0 && gate.queued() == 0;
        return switch (condition) {
            case HEALTHY -> true;
            case TRIAL -> idle && attempt.getIdempotent();
            case UNHEALTHY -> false;
        };
    }

    private boolean isAccepting(long now) {
        return !stopping
                && now >= pausedUntilMillis
                && !misdirectedId.equals(upstreamId)
                && announcements
                        .current()
                        .map(current -> current.phase() == Phase.READY)
                        .orElse(false);
    }

    private int limit(long now) {
        return isAccepting(now)
                ? announcements.current().map(Announcement::slots).orElse(0)
                : 0;
    }

    private void start(PendingAttempt work) {
        long now = control.nowMillis();
        Attempt attempt = work.attempt();
        String id = attempt.getAttemptId();
        attempts.tryStart(id);
        rankByRunningRequest.put(attempt.getRequestId(), attempt.getRank());
        long leftMillis = work.arrivedMillis() + attempt.getLeftMillis() - now;
        work.started(
                now,
                upstreamId,
                client.send(
                        settings.upstreamAddress(),
                        upstreamCall.request(attempt, upstreamId, Math.max(1, leftMillis - UPSTREAM_MARGIN_MILLIS)),
                        new HttpClient.Options(leftMillis, LONGEST_IDLE_MILLIS),
                        outcome -> control.execute(() -> ended(work, outcome))));
        judge.watch(work);
    }

    private void ended(PendingAttempt work, HttpOutcome outcome) {
        long now = control.nowMillis();
        Attempt attempt = work.attempt();
        String id = attempt.getAttemptId();
        long millis = now - work.startedMillis();
        Answer.Builder builder = upstreamCall.answer(outcome);
        boolean success = builder.getVerdict() == Verdict.RAN.ordinal() && builder.getStatus() < 500;
        rankByRunningRequest.remove(attempt.getRequestId());
        // What a former start did says nothing of the one that has taken its place.
        if (work.upstreamId().equals(upstreamId)) {
            notePath(outcome);
            judge.ended(work, outcome, success, millis);
        }
        pending.remove(id);
        if (judge.failing()) {
            // A failing upstream takes no time, so it would run through its whole queue before anyone knew.
            gate.removeWaiting(waiting -> !waiting.payload().attempt().getLastResort())
                    .forEach(waiting -> refuse(waiting.payload(), Reason.OUT_OF_ROTATION));
        }
        List<WorkItem<PendingAttempt>> next = gate.finish(now, success ? judge.serviceMillis() : -1);
        Answer answer = builder.setLoad(createLoadReport()).build();
        if (answer.getVerdict() == Verdict.NOT_RUN.ordinal()) {
            attempts.refuse(now, id);
        } else {
            attempts.finish(now, id, answer);
        }
        counters.count("home_answers", answer.getReason());
        counters.observe("upstream_seconds", attempt.getService(), millis);
        if (!success) {
            log.event("attempt-failed")
                    .with("request", attempt.getRequestId())
                    .with("attempt", id)
                    .with("upstream", work.upstreamId())
                    .with("reason", answer.getReason())
                    .with("verdict", Verdict.values()[answer.getVerdict()].label())
                    .with("status", answer.getStatus())
                    .with("millis", millis)
                    .with("detail", outcome instanceof HttpOutcome.Failed failed ? failed.detail() : "")
                    .write();
        }
        work.end(answer);
        next.forEach(waiting -> start(waiting.payload()));
        listener.loadChanged();
    }

    private void notePath(HttpOutcome outcome) {
        if (UpstreamCall.isMisdirected(outcome)) {
            misdirectedId = upstreamId;
        } else if (outcome instanceof HttpOutcome.Failed failed && failed.kind() == HttpOutcome.FailureKind.CONNECT) {
            pause();
        } else {
            pauseMillis = FIRST_PAUSE_MILLIS;
        }
    }

    private void pause() {
        long now = control.nowMillis();
        if (now < pausedUntilMillis) {
            return;
        }
        pausedUntilMillis = now + pauseMillis;
        control.after(pauseMillis + 1, listener::availabilityChanged);
        log.event("upstream-refuses-connections")
                .with("upstream", upstreamId)
                .with("pauseMillis", pauseMillis)
                .write();
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
        refuseWaiting(Reason.BACKEND_SERVER_REFUSED);
        listener.availabilityChanged();
    }

    private void cancel(String id) {
        PendingAttempt work = pending.get(id);
        if (work == null) {
            return;
        }
        if (gate.remove(id).isPresent()) {
            refuse(work, Reason.ABANDONED);
        } else if (work.attempt().getIdempotent()) {
            work.cancel();
        }
    }

    private void reconsider(PendingAttempt work) {
        String id = work.attempt().getAttemptId();
        gate.removeIfExpectedToMissDeadline(control.nowMillis(), id)
                .ifPresent(hopeless -> refuse(work, Reason.DEADLINE_SLACK));
        if (gate.isWaiting(id)) {
            control.after(RECONSIDER_MILLIS, () -> reconsider(work));
        }
    }

    private void giveUpWaiting(PendingAttempt work) {
        if (gate.remove(work.attempt().getAttemptId()).isPresent()) {
            refuse(work, Reason.DEADLINE_SLACK);
        }
    }

    private void startWaiting(long now) {
        gate.setConcurrencyLimit(now, limit(now)).forEach(work -> start(work.payload()));
    }

    private void refuseWaiting(Reason reason) {
        gate.removeAll().forEach(work -> refuse(work.payload(), reason));
    }

    private void refuse(PendingAttempt work, Reason reason) {
        String id = work.attempt().getAttemptId();
        attempts.refuse(control.nowMillis(), id);
        pending.remove(id);
        counters.count("home_refusals", reason.label());
        log.event("attempt-refused")
                .with("request", work.attempt().getRequestId())
                .with("attempt", id)
                .with("upstream", upstreamId)
                .with("reason", reason.label())
                .with("inFlight", gate.inFlight())
                .with("waiting", gate.queued())
                .with("serviceMillis", (long) judge.serviceMillis())
                .with("leftMillis", work.attempt().getLeftMillis())
                .write();
        work.end(refusal(work.attempt(), reason));
    }

    private Answer refusal(Attempt attempt, Reason reason) {
        return UpstreamCall.failure(Verdict.NOT_RUN, reason, false)
                .setLoad(createLoadReport())
                .build();
    }

    private void scheduleExpiry() {
        if (expiryScheduled) {
            return;
        }
        expiryScheduled = true;
        control.after(EXPIRY_PERIOD_MILLIS, () -> {
            expiryScheduled = false;
            long now = control.nowMillis();
            attempts.expire(now);
            crashes.expire(now);
            if (attempts.size() > 0) {
                scheduleExpiry();
            }
        });
    }

    /** Takes what the rest of the node must know, on the control thread. */
    public interface Listener {
        /** The load or health that other nodes see has changed. */
        void loadChanged();

        /** The upstream's health has changed, or it takes work again or no more. */
        void availabilityChanged();

        /** A request seems to have crashed the upstream. */
        void crashSuspected(long fingerprint, String upstreamId);
    }
}
