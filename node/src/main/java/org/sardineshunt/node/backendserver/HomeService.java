package org.sardineshunt.node.backendserver;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.jboss.logging.Logger;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.health.ActiveClock;
import org.sardineshunt.coordination.health.HealthPolicy;
import org.sardineshunt.coordination.health.UpstreamHealth.Outcome;
import org.sardineshunt.coordination.idempotency.AttemptId;
import org.sardineshunt.coordination.idempotency.AttemptRegistry;
import org.sardineshunt.coordination.idempotency.AttemptRegistry.Abandonment;
import org.sardineshunt.coordination.limit.WorkItem;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.coordination.rotation.RotationDecision;
import org.sardineshunt.node.Answers;
import org.sardineshunt.node.ControlThread;
import org.sardineshunt.node.NodeMetrics;
import org.sardineshunt.node.NodeSettings;
import org.sardineshunt.node.RotationView;
import org.sardineshunt.node.backendserver.HomeUpstream.PendingAttempt;
import org.sardineshunt.node.peer.CrashRegistry;
import org.sardineshunt.node.peer.MembershipService;
import org.sardineshunt.node.peer.PeerClient;
import org.sardineshunt.node.platform.ConfigurationService;
import org.sardineshunt.protocol.PeerMessages.Abandon;
import org.sardineshunt.protocol.PeerMessages.AbandonReply;
import org.sardineshunt.protocol.PeerMessages.Answer;
import org.sardineshunt.protocol.PeerMessages.Attempt;
import org.sardineshunt.protocol.PeerMessages.HealthBaseline;
import org.sardineshunt.protocol.PeerMessages.HealthReport;
import org.sardineshunt.protocol.PeerMessages.HomeLoad;
import org.sardineshunt.protocol.PeerMessages.RequestContent;

/**
 * Home of the upstreams that announce themselves to this node: queues their work, sends it to them and checks their
 * health. No other class sends them work. Confined to the control thread.
 */
public final class HomeService {
    private static final Logger LOG = Logger.getLogger(HomeService.class);
    private static final long TICK_PERIOD_MILLIS = 50;
    private static final long REPORT_PERIOD_MILLIS = 500;

    /** A baseline arrives each period and may be older by the time that the calls of two nodes take. */
    private static final long MAXIMUM_BASELINE_AGE_MILLIS = REPORT_PERIOD_MILLIS + 300;

    private static final long ANSWER_RETENTION_MILLIS = 30_000;
    /** A request that had this time counts as a failure if it missed its deadline or was shed. */
    private static final long SUFFICIENT_TIME_MILLIS = 1_000;

    private final ControlThread control;
    private final NodeSettings settings;
    private final NodeMetrics metrics;
    private final MembershipService membership;
    private final RotationView rotations;
    private final CrashRegistry crashes;
    private final BackendServerClient client;
    private final BaselineExchange baselineExchange;
    private final UpstreamPublisher publisher;
    private final HealthPolicy healthPolicy = HealthPolicy.builder()
            .maximumBaselineAgeMillis(MAXIMUM_BASELINE_AGE_MILLIS)
            .build();
    private final Map<String, HomeUpstream> upstreams = new TreeMap<>();
    private final AttemptRegistry<Answer> attempts = new AttemptRegistry<>(ANSWER_RETENTION_MILLIS);
    private boolean stopping;
    private int inFlight;

    /** Creates a home without upstreams. */
    public HomeService(
            NodeContext context,
            MembershipService membership,
            ConfigurationService configuration,
            RotationView rotations,
            PeerClient peers,
            BackendServerClient client) {
        this.control = context.control();
        this.settings = context.settings();
        this.metrics = context.metrics();
        this.crashes = context.crashes();
        this.membership = membership;
        this.rotations = rotations;
        this.client = client;
        this.baselineExchange = new BaselineExchange(control, peers);
        this.publisher =
                new UpstreamPublisher(control, membership, configuration, baselineExchange, upstreams.values());
        configuration.onChange(publisher::publish);
    }

    /** Starts the periodic tasks. */
    public void start() {
        control.every(TICK_PERIOD_MILLIS, this::tick);
        control.every(REPORT_PERIOD_MILLIS, this::removeExpired);
        control.every(REPORT_PERIOD_MILLIS, publisher::reportSamples);
    }

    /** Applies an announcement; returns the duration of its lease in milliseconds. */
    public long announce(Announcement announcement) {
        HomeUpstream upstream = upstreams.computeIfAbsent(announcement.id(), id -> {
            LOG.infof("upstream '%s' of service '%s' announced itself", id, announcement.service());
            return new HomeUpstream(
                    announcement, settings, healthPolicy, new ActiveClock(TICK_PERIOD_MILLIS, control.nowMillis()));
        });
        upstream.updateAnnouncement(control.nowMillis(), announcement).forEach(work -> startWork(upstream, work));
        if (announcement.leaving()) {
            refuseAllWaiting(upstream, Reason.DRAINING);
        }
        publisher.publish();
        return settings.timing().announcementLease().millis();
    }

    /** Queues and runs an attempt, or refuses it; the future never completes exceptionally. */
    public CompletableFuture<Answer> attempt(Attempt attempt) {
        RequestContent content = attempt.getContent();
        AttemptRegistry.Arrival arrival = attempts.recordArrival(idOf(attempt.getAttemptId()));
        if (arrival != AttemptRegistry.Arrival.ACCEPTED) {
            return refuseRepeated(attempt, arrival);
        }
        if (crashes.mustRefuse(content.getFingerprint())) {
            return refuseAndRemember(attempt, Reason.CRASHING_REQUEST);
        }
        if (stopping) {
            return refuseAndRemember(attempt, Reason.SHUTTING_DOWN);
        }
        boolean suspect = attempt.getSuspect() || crashes.isSuspect(content.getFingerprint());
        Optional<HomeUpstream> selected = selectUpstream(attempt, suspect);
        return selected.isPresent()
                ? enqueue(attempt, selected.get(), suspect)
                : refuseAndRemember(
                        attempt, suspect ? Reason.SUSPECT_ISOLATION : unavailableReason(content.getService()));
    }

    /**
     * Returns the state of an attempt, with its answer if it has finished; one that has not started never will. The
     * state is unknown if the attempt was sent to an earlier incarnation of this node, or may have been forgotten here.
     */
    public AbandonReply abandon(Abandon abandon) {
        long now = control.nowMillis();
        if (abandon.getHomeIncarnation() != membership.self().incarnation()) {
            return AbandonReply.newBuilder()
                    .setState(AbandonReply.State.UNKNOWN)
                    .build();
        }
        Abandonment<Answer> abandonment =
                attempts.abandon(now, idOf(abandon.getAttemptId()), abandon.getRememberMillis());
        if (abandonment.state() == AttemptRegistry.State.ABANDONED) {
            upstreams.values().stream()
                    .flatMap(upstream -> upstream.admissionQueue().remove(abandon.getAttemptId()).stream())
                    .forEach(work -> refuseWork(work, Verdict.NOT_RUN, Reason.ABANDONED));
        }
        return switch (abandonment.state()) {
            case ABANDONED -> AbandonReply.newBuilder()
                    .setState(AbandonReply.State.NOT_RUN)
                    .build();
            case FINISHED -> AbandonReply.newBuilder()
                    .setState(AbandonReply.State.FINISHED)
                    .setAnswer(abandonment.answer())
                    .build();
            case FORGOTTEN -> AbandonReply.newBuilder()
                    .setState(AbandonReply.State.UNKNOWN)
                    .build();
            default -> AbandonReply.newBuilder()
                    .setState(AbandonReply.State.RUNNING)
                    .build();
        };
    }

    /** Records the samples of a home and returns the baselines of their services. */
    public HealthBaseline addSamples(HealthReport report) {
        return baselineExchange.addSamples(report);
    }

    /** Refuses all waiting and new attempts from now on; running ones continue. */
    public void stopAccepting() {
        stopping = true;
        upstreams.values().forEach(upstream -> refuseAllWaiting(upstream, Reason.SHUTTING_DOWN));
    }

    /** Returns how many attempts are running. */
    public int inFlight() {
        return inFlight;
    }

    private CompletableFuture<Answer> refuseRepeated(Attempt attempt, AttemptRegistry.Arrival arrival) {
        return switch (arrival) {
            case ABANDONED -> refuse(attempt, Verdict.NOT_RUN, Reason.ABANDONED);
            case FORGOTTEN -> refuse(attempt, Verdict.MAY_HAVE_RUN, Reason.LATE_ATTEMPT);
            default -> refuse(attempt, Verdict.MAY_HAVE_RUN, Reason.DUPLICATE_ATTEMPT);
        };
    }

    // Entries of earlier versions don't number their attempts.
    private static AttemptId idOf(String text) {
        return AttemptId.parse(text).orElseGet(() -> new AttemptId(text, 0, 0));
    }

    // Each upstream holds at most one suspect: a crash counts against all requests that run there, and could take a
    // second suspect to the crash limit by coincidence.
    private Optional<HomeUpstream> selectUpstream(Attempt attempt, boolean suspect) {
        Map<String, RotationDecision> decisions =
                rotations.of(attempt.getContent().getService()).decisions();
        boolean trial = attempt.getTrial() && attempt.getContent().getIdempotent();
        RotationDecision.Use requiredUse = trial ? RotationDecision.Use.TRIAL : RotationDecision.Use.FULL;
        return availableUpstreams(attempt.getContent().getService())
                .filter(upstream -> useOf(decisions, upstream) == requiredUse)
                .filter(upstream -> !suspect || !upstream.holdsSuspect())
                .min(Comparator.comparingDouble(HomeUpstream::relativeLoad));
    }

    private static RotationDecision.Use useOf(Map<String, RotationDecision> decisions, HomeUpstream upstream) {
        RotationDecision decision = decisions.get(upstream.announcement().id());
        return decision == null ? RotationDecision.Use.NONE : decision.use();
    }

    private java.util.stream.Stream<HomeUpstream> availableUpstreams(String service) {
        long now = control.nowMillis();
        long lease = settings.timing().announcementLease().millis();
        return upstreams.values().stream()
                .filter(upstream -> upstream.announcement().service().equals(service))
                .filter(upstream -> upstream.announcement().ready())
                .filter(upstream -> !upstream.isPaused())
                .filter(upstream -> !upstream.isLeaseExpired(now, lease));
    }

    private Reason unavailableReason(String service) {
        boolean leaving = upstreams.values().stream()
                .filter(upstream -> upstream.announcement().service().equals(service))
                .anyMatch(upstream -> upstream.announcement().leaving());
        boolean anyAvailable = availableUpstreams(service).findAny().isPresent();
        return anyAvailable ? Reason.OUT_OF_ROTATION : leaving ? Reason.DRAINING : Reason.NO_UPSTREAM;
    }

    private CompletableFuture<Answer> enqueue(Attempt attempt, HomeUpstream upstream, boolean suspect) {
        long now = control.nowMillis();
        PendingAttempt pendingAttempt = new PendingAttempt(attempt, new CompletableFuture<>());
        WorkItem<PendingAttempt> work = new WorkItem<>(
                attempt.getAttemptId(),
                attempt.getContent().getRank(),
                now + attempt.getContent().getDeadlineLeftMillis(),
                pendingAttempt);
        upstream.admissionQueue()
                .offer(now, work)
                .peek(startedNow -> {
                    if (startedNow) {
                        startWork(upstream, work);
                    }
                })
                .peekLeft(reason -> refuseWork(work, Verdict.NOT_RUN, reason));
        if (suspect) {
            upstream.setHoldsSuspect(true);
            pendingAttempt.answer().thenRun(() -> upstream.setHoldsSuspect(false));
        }
        return pendingAttempt.answer();
    }

    private void startWork(HomeUpstream upstream, WorkItem<PendingAttempt> work) {
        long now = control.nowMillis();
        Attempt attempt = work.payload().attempt();
        if (!attempts.tryStart(idOf(work.id()))) {
            upstream.admissionQueue().finish(now, -1).forEach(next -> startWork(upstream, next));
            return;
        }
        inFlight++;
        upstream.recordStart(now, work.id());
        client.call(upstream.announcement(), attempt.getContent(), Math.max(1, work.deadlineMillis() - now))
                .thenAccept(answer -> {
                    // Taken on the thread of the client, because the control thread may be late.
                    long answeredMillis = control.nowMillis();
                    control.execute(() -> finishWork(upstream, work, new Exchange(now, answeredMillis, answer)));
                });
    }

    private void finishWork(HomeUpstream upstream, WorkItem<PendingAttempt> work, Exchange exchange) {
        long now = control.nowMillis();
        Answer answer = exchange.answer();
        String upstreamId = upstream.announcement().id();
        RequestContent content = work.payload().attempt().getContent();
        inFlight--;
        if (answer.getUpstreamCrashed()) {
            crashes.recordCrash(content.getFingerprint(), upstreamId);
            upstream.pauseUntilAnnounced(now);
        } else if (Answers.verdict(answer) == Verdict.RAN) {
            crashes.recordAnswer(content.getFingerprint());
        }
        Answer finalAnswer = answer.toBuilder()
                .setAttemptId(work.id())
                .setUpstreamId(upstreamId)
                .setLoad(load(upstream, content.getRank()))
                .build();
        attempts.finish(now, idOf(work.id()), finalAnswer);
        boolean wasHealthy = upstream.health().condition(now) == HealthCondition.HEALTHY;
        long availableMillis = work.deadlineMillis() - exchange.startedMillis();
        long upstreamMillis = upstream.upstreamMillis(now, exchange.answeredMillis(), work.id());
        List<WorkItem<PendingAttempt>> next = upstream.recordEnd(
                now,
                exchange.answeredMillis(),
                work.id(),
                outcome(answer),
                isHealthEvidence(upstream, answer, availableMillis, upstreamMillis));
        if (wasHealthy && upstream.health().condition(now) == HealthCondition.UNHEALTHY) {
            LOG.warnf(
                    "ejected upstream '%s' as unhealthy, severity %d",
                    upstreamId, upstream.health().severity());
            metrics.recordEjection(upstreamId);
            publisher.publish();
        }
        work.payload().answer().complete(finalAnswer);
        next.forEach(waiting -> startWork(upstream, waiting));
    }

    private static Outcome outcome(Answer answer) {
        return Answers.verdict(answer) == Verdict.RAN ? Outcome.SUCCESS : Outcome.FAILURE;
    }

    // A request that missed its deadline or was shed is no evidence if it had less time than requests normally take.
    // The time that this node itself spent late isn't time that the upstream had until the deadline.
    private static boolean isHealthEvidence(
            HomeUpstream upstream, Answer answer, long availableMillis, long upstreamMillis) {
        double sufficientMillis =
                Math.min(SUFFICIENT_TIME_MILLIS, upstream.health().slowLimitMillis());
        return switch (Answers.reason(answer)) {
            case MALFORMED_REQUEST, ANSWER_TOO_LARGE -> false;
            case DEADLINE_PASSED -> Math.min(availableMillis, upstreamMillis) >= sufficientMillis;
            case BACKEND_SERVER_SHED -> availableMillis >= sufficientMillis;
            default -> true;
        };
    }

    private static HomeLoad load(HomeUpstream upstream, String rank) {
        return HomeLoad.newBuilder()
                .setInFlight(upstream.admissionQueue().inFlight())
                .setQueued(upstream.admissionQueue().queued())
                .setSlots(upstream.admissionQueue().concurrencyLimit())
                .setExpectedWaitMillis(Math.round(upstream.admissionQueue().expectedWaitMillis(rank)))
                .build();
    }

    private void refuseWork(WorkItem<PendingAttempt> work, Verdict verdict, Reason reason) {
        Attempt attempt = work.payload().attempt();
        attempts.refuse(control.nowMillis(), idOf(work.id()));
        refuse(attempt, verdict, reason).thenAccept(work.payload().answer()::complete);
    }

    private CompletableFuture<Answer> refuseAndRemember(Attempt attempt, Reason reason) {
        attempts.refuse(control.nowMillis(), idOf(attempt.getAttemptId()));
        return refuse(attempt, Verdict.NOT_RUN, reason);
    }

    private CompletableFuture<Answer> refuse(Attempt attempt, Verdict verdict, Reason reason) {
        metrics.recordRefusal(attempt.getContent().getService(), reason);
        return CompletableFuture.completedFuture(
                Answers.failure(verdict, reason, "refused by " + settings.nodeId()).toBuilder()
                        .setAttemptId(attempt.getAttemptId())
                        .build());
    }

    private void refuseAllWaiting(HomeUpstream upstream, Reason reason) {
        upstream.admissionQueue().removeAll().forEach(work -> refuseWork(work, Verdict.NOT_RUN, reason));
    }

    private void removeExpired() {
        attempts.expire(control.nowMillis());
        crashes.expire();
    }

    private void tick() {
        long now = control.nowMillis();
        long lease = settings.timing().announcementLease().millis();
        upstreams.values().forEach(upstream -> {
            upstream.recordOverdueAttempts(now);
            upstream.admissionQueue()
                    .removeExpired(now)
                    .forEach(work -> refuseWork(work, Verdict.NOT_RUN, Reason.DEADLINE_PASSED));
            upstream.updateConcurrencyLimit(now).forEach(work -> startWork(upstream, work));
        });
        List<HomeUpstream> expired = upstreams.values().stream()
                .filter(upstream -> upstream.isLeaseExpired(now, lease))
                .toList();
        expired.forEach(upstream -> {
            LOG.infof(
                    "announcement lease of upstream '%s' expired",
                    upstream.announcement().id());
            refuseAllWaiting(upstream, Reason.NO_UPSTREAM);
            upstreams.remove(upstream.announcement().id());
        });
        publisher.publish();
    }

    /**
     * Objects that the services of a node share.
     *
     * @param control control thread of the node
     * @param settings settings of the node
     * @param metrics metrics of the node
     * @param crashes registry of requests that crashed upstreams
     */
    public record NodeContext(
            ControlThread control, NodeSettings settings, NodeMetrics metrics, CrashRegistry crashes) {}

    /** An answer, with the times at which its request was started and it arrived. */
    private record Exchange(long startedMillis, long answeredMillis, Answer answer) {}
}
