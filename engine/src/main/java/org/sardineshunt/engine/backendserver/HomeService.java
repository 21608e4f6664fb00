package org.sardineshunt.engine.backendserver;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.account.RunningRequests;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.coordination.announcement.AnnouncementTracker;
import org.sardineshunt.coordination.idempotency.AttemptId;
import org.sardineshunt.coordination.idempotency.AttemptRegistry;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.limit.AdmissionQueue;
import org.sardineshunt.coordination.limit.WorkItem;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.engine.AttemptStreams;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.EngineContext;
import org.sardineshunt.engine.EngineSettings;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.http.HttpClient;
import org.sardineshunt.engine.http.HttpOutcome;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.HomeLoad;
import org.sardineshunt.engine.protocol.EngineMessages.Inquiry;

/**
 * Starts, queues or refuses attempts for the local upstream, the one beside this node. All requests to it are sent from
 * here. Confined to the control thread.
 */
public final class HomeService {
    // Answers are kept for entries that inquire because they lost their link.
    private static final long ANSWER_RETENTION_MILLIS = 5_000;

    private static final long EXPIRY_PERIOD_MILLIS = 1_000;
    private static final long LATE_RECHECK_MILLIS = 400;

    // A waiting attempt is refused once less than its expected service time, or less than this, is left.
    private static final double MINIMUM_SERVICE_MILLIS = 50;

    private final ControlEventLoop control;
    private final EventLog log;
    private final EngineSettings settings;
    private final HttpClient client;
    private final UpstreamHttpMapper httpMapper;
    private final UpstreamSender sender;
    private final UpstreamMonitor monitor;
    private final UpstreamReachability reachability;
    private final KeyCheck keyCheck;
    private final AttemptLog attemptLog;
    private final Listener listener;
    private final CrashingRequestDetector crashDetector;
    private final AnnouncementTracker announcements = new AnnouncementTracker();
    private final AttemptRegistry<Answer> attemptRegistry = new AttemptRegistry<>(ANSWER_RETENTION_MILLIS);
    private final PendingAttempts pendingAttempts = new PendingAttempts();
    private final RunningRequests runningRequests = new RunningRequests();
    private final long incarnation;
    private AdmissionQueue<PendingAttempt> queue = UpstreamQueue.create();
    private String upstreamId = "";
    private long loadSequence;
    private boolean stopping;
    private boolean expiryScheduled;

    /**
     * Creates a home whose upstream has not been announced yet.
     *
     * @param configuration supplies the configuration in force; empty before the first one was received
     */
    public HomeService(
            EngineContext context,
            HttpClient client,
            BaselineProvider baselines,
            Supplier<Optional<FleetConfiguration>> configuration,
            Listener listener) {
        control = context.control();
        log = context.log();
        settings = context.settings();
        crashDetector = context.crashDetector();
        incarnation = context.incarnation();
        this.client = client;
        keyCheck = new KeyCheck(configuration);
        attemptLog = new AttemptLog(log, context.metrics());
        this.listener = listener;
        monitor = new UpstreamMonitor(context, baselines, listener);
        reachability =
                new UpstreamReachability(control, log, this::handleRefusedConnection, listener::availabilityChanged);
        httpMapper = new UpstreamHttpMapper(settings.headers(), keyCheck::hasAccounts);
        sender = new UpstreamSender(context, client, httpMapper);
    }

    /** Returns the newest announcement of the upstream, if any. */
    public Optional<Announcement> announcement() {
        return announcements.current();
    }

    /** Records an announcement; returns whether the upstream's start or phase changed, which other nodes must know. */
    public boolean recordAnnouncement(Announcement announcement) {
        Optional<Announcement> previous = announcements.current();
        if (!announcements.merge(announcement)) {
            return false;
        }
        return applyChange(previous);
    }

    /** Records the announcement that was stored before this process started; returns whether the upstream changed. */
    public boolean restoreAnnouncement(Announcement stored) {
        Optional<Announcement> previous = announcements.current();
        return announcements.restore(stored) && applyChange(previous);
    }

    /**
     * Records that the upstream leaves.
     *
     * @param startedEpochMillis epoch milliseconds of its start; 0 if unknown
     * @return whether its start or phase changed, which other nodes must know
     */
    public boolean recordLeave(String id, long startedEpochMillis) {
        Optional<Announcement> previous = announcements.current();
        return announcements.markLeft(id, startedEpochMillis, System.currentTimeMillis()) && applyChange(previous);
    }

    /** Refuses waiting and further attempts; running ones go on. */
    public void stopAccepting() {
        stopping = true;
        refuseAllWaiting(Reason.SHUTTING_DOWN);
        listener.availabilityChanged();
    }

    /** Returns the number of attempts that wait or run. */
    public int pendingAttempts() {
        return pendingAttempts.size();
    }

    /** Returns the requests that the upstream is running. */
    public RunningRequests runningRequests() {
        return runningRequests;
    }

    /**
     * Starts, queues or refuses an attempt.
     *
     * @param streams streamed bodies of the attempt
     * @param onAnswer receives the answer on the control thread, an immediate refusal before this method returns; never
     *     called for an attempt that an inquiry abandons
     * @return an action that cancels the attempt unless it is running and not idempotent
     */
    public Runnable attempt(Attempt attempt, AttemptStreams streams, Consumer<Answer> onAnswer) {
        long now = control.nowMillis();
        Optional<AttemptId> parsedId = AttemptId.parse(attempt.getAttemptId());
        if (parsedId.isEmpty()) {
            onAnswer.accept(refusalAnswer(Reason.MALFORMED_REQUEST));
            return () -> {};
        }
        AttemptId id = parsedId.get();
        AttemptRegistry.Arrival arrival = attemptRegistry.recordArrival(id);
        if (arrival != AttemptRegistry.Arrival.ACCEPTED) {
            onAnswer.accept(repeatAnswer(attempt, arrival));
            return () -> {};
        }
        PendingAttempt pending = new PendingAttempt(attempt, id, now, streams, onAnswer);
        pendingAttempts.add(pending);
        scheduleExpiry();
        Optional<Reason> refusalReason = findRefusalReason(now, attempt);
        if (refusalReason.isPresent()) {
            refuse(pending, refusalReason.get());
            return () -> {};
        }
        updateConcurrencyLimit(now);
        double serviceMillis = monitor.expectedServiceMillis(attempt.getRoute());
        WorkItem<PendingAttempt> item = UpstreamQueue.toWorkItem(pending, serviceMillis);
        queue.makeRoom(now, item).ifPresent(displaced -> refuse(displaced.payload(), Reason.QUEUE_FULL));
        Either<Reason, Boolean> startedNow = queue.offer(now, item);
        if (startedNow.isLeft()) {
            refuse(pending, startedNow.getLeft());
            return () -> {};
        }
        if (startedNow.get()) {
            start(pending);
        } else {
            double neededMillis = Math.max(MINIMUM_SERVICE_MILLIS, serviceMillis);
            pending.addTimer(control.after(
                    (long) Math.max(1, attempt.getLeftMillis() - neededMillis), () -> refuseIfWaiting(pending)));
            long millisUntilLate = (long) (item.dueMillis() - now - serviceMillis);
            if (millisUntilLate > 0 && item.dueMillis() < item.deadlineMillis()) {
                pending.addTimer(control.after(millisUntilLate + 1, () -> recheckLateAttempt(pending)));
            }
        }
        listener.loadChanged();
        return () -> cancel(id);
    }

    /**
     * Reports the outcome of an attempt whose link was lost, as soon as it is known. An attempt that has not started is
     * abandoned and never starts.
     */
    public void inquire(Inquiry inquiry, Consumer<Answer> onAnswer) {
        long now = control.nowMillis();
        Optional<AttemptId> parsedId = AttemptId.parse(inquiry.getAttemptId());
        // The attempt was sent to an earlier process, whose attempts this one doesn't know.
        if (parsedId.isEmpty() || inquiry.getHomeIncarnation() != incarnation) {
            onAnswer.accept(UpstreamHttpMapper.unknownOutcome());
            return;
        }
        AttemptId id = parsedId.get();
        AttemptRegistry.Abandonment<Answer> abandonment =
                attemptRegistry.abandon(now, id, inquiry.getLeftMillis() + ANSWER_RETENTION_MILLIS);
        log.event("attempt-inquired")
                .with("attempt", inquiry.getAttemptId())
                .with("state", abandonment.state().name())
                .write();
        switch (abandonment.state()) {
            case FINISHED -> onAnswer.accept(abandonment.answer());
            case RUNNING -> pendingAttempts.find(id).orElseThrow().addListener(onAnswer);
            case FORGOTTEN -> onAnswer.accept(UpstreamHttpMapper.unknownOutcome());
            default -> {
                pendingAttempts.remove(id).ifPresent(waiting -> {
                    queue.remove(waiting.queueId());
                    waiting.abandon();
                });
                onAnswer.accept(UpstreamHttpMapper.failureAnswer(Verdict.NOT_RUN, Reason.ABANDONED, false)
                        .setLoad(createLoadReport())
                        .build());
            }
        }
    }

    /** Returns a report of the upstream's load and health for other nodes, with the next sequence number. */
    public HomeLoad createLoadReport() {
        long now = control.nowMillis();
        int slots = announcements.current().map(Announcement::slots).orElse(0);
        return HomeLoad.newBuilder()
                .setInFlight(queue.inFlight())
                .setWaiting(queue.queued())
                .setSlots(slots)
                .setServiceMillis((int) monitor.lengthBiasedServiceMillis())
                .setCondition(monitor.condition().ordinal())
                .setAccepting(isAccepting(now))
                .setFailing(monitor.isFailing())
                .addAllWaitMillis(UpstreamQueue.expectedWaitMillis(queue))
                .setFailurePermille(monitor.failurePermille())
                .setSequence(++loadSequence)
                .setIncarnation(incarnation)
                .setConfigurationVersion(keyCheck.version())
                .build();
    }

    private boolean applyChange(Optional<Announcement> previous) {
        Announcement current = announcements.current().orElseThrow();
        boolean newStart = previous.map(old ->
                        !old.id().equals(current.id()) || old.startedEpochMillis() != current.startedEpochMillis())
                .orElse(true);
        boolean phaseChanged =
                previous.map(old -> old.phase() != current.phase()).orElse(true);
        reachability.handleAnnouncement();
        if (newStart) {
            handleNewStart(current);
        }
        if (current.phase() != Phase.READY) {
            refuseAllWaiting(Reason.DRAINING);
        }
        if (newStart || phaseChanged) {
            log.event("upstream-announced")
                    .with("upstream", current.id())
                    .with("service", current.service())
                    .with("phase", current.phase().name())
                    .with("sequence", current.sequence())
                    .with("born", current.startedEpochMillis())
                    .write();
            listener.availabilityChanged();
        }
        updateConcurrencyLimit(control.nowMillis());
        return newStart || phaseChanged;
    }

    private void handleNewStart(Announcement current) {
        refuseAllWaiting(Reason.NO_UPSTREAM);
        client.closeIdleConnections(settings.upstreamAddress());
        upstreamId = current.id();
        monitor.handleNewStart(current.id());
    }

    private Optional<Reason> findRefusalReason(long now, Attempt attempt) {
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
        if (keyCheck.isRevoked(attempt)) {
            return Optional.of(Reason.KEY_REVOKED);
        }
        if (pendingAttempts.exceedMemory()) {
            return Optional.of(Reason.MEMORY_SHORT);
        }
        // A streamed body holds its slot while its caller may be slow, so half of the slots are for other work.
        if (attempt.getBodyFollows()
                && pendingAttempts.streamedBodies() > Math.max(1, current.get().slots() / 2)) {
            return Optional.of(Reason.QUEUE_FULL);
        }
        if (!attempt.getLastResort() && !admits(monitor.condition(), attempt)) {
            return Optional.of(Reason.OUT_OF_ROTATION);
        }
        return crashDetector.mustRefuse(now, String.valueOf(attempt.getFingerprint()))
                ? Optional.of(Reason.CRASHING_REQUEST)
                : Optional.empty();
    }

    // On trial an upstream takes one request at a time, because entries with the same knowledge all send one, and only
    // idempotent ones, because the upstream may still fail them.
    private boolean admits(HealthCondition condition, Attempt attempt) {
        boolean idle = queue.inFlight() == 0 && queue.queued() == 0;
        return switch (condition) {
            case HEALTHY -> true;
            case TRIAL -> idle && attempt.getIdempotent();
            case UNHEALTHY -> false;
        };
    }

    private boolean isAccepting(long now) {
        return !stopping
                && reachability.isReachable(now)
                && announcements
                        .current()
                        .map(current -> current.phase() == Phase.READY)
                        .orElse(false);
    }

    private int concurrencyLimit(long now) {
        return isAccepting(now)
                ? announcements.current().map(Announcement::slots).orElse(0)
                : 0;
    }

    private void start(PendingAttempt pending) {
        long now = control.nowMillis();
        Attempt attempt = pending.attempt();
        attemptRegistry.tryStart(pending.id());
        runningRequests.start(attempt.getRequestId(), attempt.getRank(), attempt.getAccount());
        long leftMillis = pending.arrivedMillis() + attempt.getLeftMillis() - now;
        pending.markStarted(
                now, upstreamId, sender.send(pending, upstreamId, leftMillis, outcome -> finish(pending, outcome)));
        monitor.scheduleOverdueCheck(pending);
    }

    private void finish(PendingAttempt pending, HttpOutcome outcome) {
        long now = control.nowMillis();
        Attempt attempt = pending.attempt();
        AttemptId id = pending.id();
        boolean streamed = outcome instanceof HttpOutcome.Responded responded && responded.streamed();
        long durationMillis = pending.upstreamMillis(now, streamed || attempt.getBodyFollows());
        Answer.Builder builder = httpMapper.toAnswer(attempt, outcome).setStreamed(streamed);
        boolean success = builder.getVerdict() == Verdict.RAN.ordinal() && builder.getStatus() < 500;
        runningRequests.finish(attempt.getRequestId());
        // An outcome of an earlier start of the upstream says nothing about the current one.
        if (pending.upstreamId().equals(upstreamId)) {
            boolean misdirected = httpMapper.isMisdirected(attempt, outcome);
            reachability.recordOutcome(upstreamId, outcome, misdirected);
            if (!misdirected) {
                boolean refused = builder.getVerdict() == Verdict.NOT_RUN.ordinal();
                monitor.recordOutcome(pending, outcome, new UpstreamMonitor.Result(success, refused, durationMillis));
            }
        }
        pendingAttempts.remove(id);
        if (monitor.isFailing()) {
            // A failing upstream may respond at once and so fail its whole queue before other nodes learn of it.
            queue.removeWaiting(item -> !item.payload().attempt().getLastResort())
                    .forEach(item -> refuse(item.payload(), Reason.OUT_OF_ROTATION));
        }
        List<WorkItem<PendingAttempt>> next = queue.finish(now, success ? monitor.lengthBiasedServiceMillis() : -1);
        Answer answer = builder.setLoad(createLoadReport()).build();
        if (answer.getVerdict() == Verdict.NOT_RUN.ordinal()) {
            attemptRegistry.refuse(now, id);
        } else {
            // Entries inquire only about attempts that they must not repeat.
            attemptRegistry.finish(now, id, attempt.getIdempotent() ? UpstreamHttpMapper.unknownOutcome() : answer);
        }
        attemptLog.finished(pending, outcome, answer, success, durationMillis);
        pending.complete(answer);
        next.forEach(item -> start(item.payload()));
        listener.loadChanged();
    }

    private void handleRefusedConnection() {
        refuseAllWaiting(Reason.BACKEND_SERVER_REFUSED);
        listener.availabilityChanged();
    }

    private void cancel(AttemptId id) {
        pendingAttempts.find(id).ifPresent(this::cancel);
    }

    private void cancel(PendingAttempt pending) {
        if (queue.remove(pending.queueId()).isPresent()) {
            refuse(pending, Reason.ABANDONED);
        } else if (pending.attempt().getIdempotent() || pending.isStreaming()) {
            pending.cancel();
        }
    }

    // Refuses a late attempt that is expected to miss its deadline, so that its entry can try elsewhere in time.
    private void recheckLateAttempt(PendingAttempt pending) {
        String id = pending.queueId();
        queue.removeIfExpectedToMissDeadline(control.nowMillis(), id)
                .ifPresent(removed -> refuse(pending, Reason.DEADLINE_SLACK));
        if (queue.isWaiting(id)) {
            pending.addTimer(control.after(LATE_RECHECK_MILLIS, () -> recheckLateAttempt(pending)));
        }
    }

    private void refuseIfWaiting(PendingAttempt pending) {
        if (queue.remove(pending.queueId()).isPresent()) {
            refuse(pending, Reason.DEADLINE_SLACK);
        }
    }

    private void updateConcurrencyLimit(long now) {
        queue.setConcurrencyLimit(now, concurrencyLimit(now)).forEach(item -> start(item.payload()));
    }

    private void refuseAllWaiting(Reason reason) {
        queue.removeAll().forEach(item -> refuse(item.payload(), reason));
    }

    private void refuse(PendingAttempt pending, Reason reason) {
        attemptRegistry.refuse(control.nowMillis(), pending.id());
        pendingAttempts.remove(pending.id());
        attemptLog.refused(pending, reason, upstreamId, queue, monitor.lengthBiasedServiceMillis());
        pending.complete(refusalAnswer(reason));
    }

    // Only an abandoned attempt is known not to run; of the others one arrival has run or may still run.
    private Answer repeatAnswer(Attempt attempt, AttemptRegistry.Arrival arrival) {
        boolean neverRuns = arrival == AttemptRegistry.Arrival.ABANDONED;
        Reason reason = arrival == AttemptRegistry.Arrival.FORGOTTEN ? Reason.LATE_ATTEMPT : Reason.DUPLICATE_ATTEMPT;
        attemptLog.repeated(attempt, arrival, reason);
        return neverRuns
                ? refusalAnswer(reason)
                : UpstreamHttpMapper.failureAnswer(Verdict.MAY_HAVE_RUN, reason, true)
                        .setLoad(createLoadReport())
                        .build();
    }

    private Answer refusalAnswer(Reason reason) {
        return UpstreamHttpMapper.failureAnswer(Verdict.NOT_RUN, reason, false)
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
            attemptRegistry.expire(now);
            crashDetector.expire(now);
            if (attemptRegistry.size() > 0) {
                scheduleExpiry();
            }
        });
    }

    /** Receives changes that other nodes must learn of. Called on the control thread. */
    public interface Listener {
        /** Called when the content of the load report has changed. */
        void loadChanged();

        /** Called when the upstream's health has changed, or when it may have started or stopped accepting work. */
        void availabilityChanged();

        /** Called when the request with the fingerprint is suspected to have crashed this start of the upstream. */
        void crashSuspected(long fingerprint, String upstreamId);
    }
}
