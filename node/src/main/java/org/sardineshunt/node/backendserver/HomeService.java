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
import org.sardineshunt.coordination.health.HealthPolicy;
import org.sardineshunt.coordination.health.UpstreamHealth.Outcome;
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
 * The home of the upstreams that announce themselves here: only this class hands work to them. Belongs to the control
 * thread.
 */
public final class HomeService {
    private static final Logger LOG = Logger.getLogger(HomeService.class);
    private static final long TICK_MILLIS = 50;
    private static final long REPORT_MILLIS = 500;

    // A report of the group arrives each period and may be as old as the calls of two nodes take.
    private static final long BASELINE_AGE_MILLIS = REPORT_MILLIS + 300;
    private static final long ANSWER_RETENTION_MILLIS = 30_000;
    private static final long AMPLE_MILLIS = 1_000;

    private final ControlThread control;
    private final NodeSettings settings;
    private final NodeMetrics metrics;
    private final MembershipService membership;
    private final RotationView rotations;
    private final CrashRegistry crashes;
    private final BackendServerClient client;
    private final GroupHealth groupHealth;
    private final UpstreamPublisher publisher;
    private final HealthPolicy policy =
            HealthPolicy.builder().maximumBaselineAgeMillis(BASELINE_AGE_MILLIS).build();
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
        this.groupHealth = new GroupHealth(control, peers);
        this.publisher = new UpstreamPublisher(control, membership, configuration, groupHealth, upstreams.values());
        configuration.onChange(publisher::publish);
    }

    /** Starts the timers. */
    public void start() {
        control.every(TICK_MILLIS, this::tick);
        control.every(REPORT_MILLIS, this::expire);
        control.every(REPORT_MILLIS, publisher::report);
    }

    /** Takes over an announcement; returns how long it counts, in milliseconds. */
    public long announce(Announcement announcement) {
        HomeUpstream upstream = upstreams.computeIfAbsent(announcement.id(), id -> {
            LOG.infof("upstream '%s' of service '%s' announced itself", id, announcement.service());
            return new HomeUpstream(announcement, settings, policy);
        });
        upstream.announce(control.nowMillis(), announcement).forEach(work -> start(upstream, work));
        if (announcement.leaving()) {
            refuseWaiting(upstream, Reason.DRAINING);
        }
        publisher.publish();
        return settings.timing().announcementLease().millis();
    }

    /** Runs an attempt, or refuses it; the future never fails. */
    public CompletableFuture<Answer> attempt(Attempt attempt) {
        RequestContent content = attempt.getContent();
        AttemptRegistry.Arrival arrival = attempts.recordArrival(attempt.getAttemptId());
        if (arrival != AttemptRegistry.Arrival.ACCEPTED) {
            boolean abandoned = arrival == AttemptRegistry.Arrival.ABANDONED;
            return refuse(
                    attempt,
                    abandoned ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
                    abandoned ? Reason.ABANDONED : Reason.DUPLICATE_ATTEMPT);
        }
        if (crashes.mustRefuse(content.getFingerprint())) {
            return refuseForGood(attempt, Reason.CRASHING_REQUEST);
        }
        if (stopping) {
            return refuseForGood(attempt, Reason.SHUTTING_DOWN);
        }
        boolean suspect = attempt.getSuspect() || crashes.isSuspect(content.getFingerprint());
        Optional<HomeUpstream> chosen = choose(attempt, suspect);
        return chosen.isPresent()
                ? enqueue(attempt, chosen.get(), suspect)
                : refuseForGood(attempt, suspect ? Reason.SUSPECT_ISOLATION : whyNone(content.getService()));
    }

    /** Answers what became of an attempt, and lets it never start if it hasn't. */
    public AbandonReply abandon(Abandon abandon) {
        long now = control.nowMillis();
        if (abandon.getHomeIncarnation() != membership.self().incarnation()) {
            return AbandonReply.newBuilder()
                    .setState(AbandonReply.State.UNKNOWN)
                    .build();
        }
        Abandonment<Answer> abandonment = attempts.abandon(now, abandon.getAttemptId(), abandon.getRememberMillis());
        if (abandonment.state() == AttemptRegistry.State.ABANDONED) {
            upstreams.values().stream()
                    .flatMap(upstream -> upstream.gate().remove(abandon.getAttemptId()).stream())
                    .forEach(work -> complete(work, Verdict.NOT_RUN, Reason.ABANDONED));
        }
        return switch (abandonment.state()) {
            case ABANDONED -> AbandonReply.newBuilder()
                    .setState(AbandonReply.State.NOT_RUN)
                    .build();
            case FINISHED -> AbandonReply.newBuilder()
                    .setState(AbandonReply.State.FINISHED)
                    .setAnswer(abandonment.answer())
                    .build();
            default -> AbandonReply.newBuilder()
                    .setState(AbandonReply.State.RUNNING)
                    .build();
        };
    }

    /** Answers another home's health report. */
    public HealthBaseline acceptHealthReport(HealthReport report) {
        return groupHealth.collect(report);
    }

    /** Refuses all new and waiting work from now on. */
    public void stopAccepting() {
        stopping = true;
        upstreams.values().forEach(upstream -> refuseWaiting(upstream, Reason.SHUTTING_DOWN));
    }

    /** Returns the attempts that run now. */
    public int inFlight() {
        return inFlight;
    }

    // An upstream holds one suspect at a time: if it crashes, no other request gets its second victim by chance.
    private Optional<HomeUpstream> choose(Attempt attempt, boolean suspect) {
        Map<String, RotationDecision> placements =
                rotations.of(attempt.getContent().getService()).decisions();
        boolean trial = attempt.getTrial() && attempt.getContent().getIdempotent();
        RotationDecision.Use wanted = trial ? RotationDecision.Use.TRIAL : RotationDecision.Use.FULL;
        return serving(attempt.getContent().getService())
                .filter(upstream -> use(placements, upstream) == wanted)
                .filter(upstream -> !suspect || !upstream.holdsSuspect())
                .min(Comparator.comparingDouble(HomeUpstream::load));
    }

    private static RotationDecision.Use use(Map<String, RotationDecision> placements, HomeUpstream upstream) {
        RotationDecision placement = placements.get(upstream.announcement().id());
        return placement == null ? RotationDecision.Use.NONE : placement.use();
    }

    private java.util.stream.Stream<HomeUpstream> serving(String service) {
        long now = control.nowMillis();
        long lease = settings.timing().announcementLease().millis();
        return upstreams.values().stream()
                .filter(upstream -> upstream.announcement().service().equals(service))
                .filter(upstream -> upstream.announcement().ready())
                .filter(upstream -> !upstream.paused())
                .filter(upstream -> !upstream.leaseOver(now, lease));
    }

    private Reason whyNone(String service) {
        boolean leaving = upstreams.values().stream()
                .filter(upstream -> upstream.announcement().service().equals(service))
                .anyMatch(upstream -> upstream.announcement().leaving());
        boolean serving = serving(service).findAny().isPresent();
        return serving ? Reason.OUT_OF_ROTATION : leaving ? Reason.DRAINING : Reason.NO_UPSTREAM;
    }

    private CompletableFuture<Answer> enqueue(Attempt attempt, HomeUpstream upstream, boolean suspect) {
        long now = control.nowMillis();
        PendingAttempt pending = new PendingAttempt(attempt, new CompletableFuture<>());
        WorkItem<PendingAttempt> work = new WorkItem<>(
                attempt.getAttemptId(),
                attempt.getContent().getRank(),
                now + attempt.getContent().getDeadlineLeftMillis(),
                pending);
        upstream.gate()
                .offer(now, work)
                .peek(startedNow -> {
                    if (startedNow) {
                        start(upstream, work);
                    }
                })
                .peekLeft(reason -> complete(work, Verdict.NOT_RUN, reason));
        if (suspect) {
            upstream.holdSuspect(true);
            pending.answer().thenRun(() -> upstream.holdSuspect(false));
        }
        return pending.answer();
    }

    private void start(HomeUpstream upstream, WorkItem<PendingAttempt> work) {
        long now = control.nowMillis();
        Attempt attempt = work.payload().attempt();
        if (!attempts.tryStart(work.id())) {
            upstream.gate().finish(now, -1).forEach(next -> start(upstream, next));
            return;
        }
        inFlight++;
        upstream.started(now, work.id());
        client.call(upstream.announcement(), attempt.getContent(), Math.max(1, work.deadlineMillis() - now))
                .thenAccept(answer -> control.execute(() -> finish(upstream, work, now, answer)));
    }

    private void finish(HomeUpstream upstream, WorkItem<PendingAttempt> work, long startedMillis, Answer answer) {
        long now = control.nowMillis();
        String upstreamId = upstream.announcement().id();
        RequestContent content = work.payload().attempt().getContent();
        inFlight--;
        if (answer.getUpstreamCrashed()) {
            crashes.recordCrash(content.getFingerprint(), upstreamId);
            upstream.pauseUntilAnnounced(now);
        } else if (Answers.verdict(answer) == Verdict.RAN) {
            crashes.recordAnswer(content.getFingerprint());
        }
        Answer complete = answer.toBuilder()
                .setAttemptId(work.id())
                .setUpstreamId(upstreamId)
                .setLoad(load(upstream, content.getRank()))
                .build();
        attempts.finish(now, work.id(), complete);
        boolean healthyBefore = upstream.health().condition(now) == HealthCondition.HEALTHY;
        List<WorkItem<PendingAttempt>> next = upstream.finished(
                now,
                work.id(),
                outcome(answer),
                saysSomething(upstream, answer, work.deadlineMillis() - startedMillis));
        if (healthyBefore && upstream.health().condition(now) == HealthCondition.UNHEALTHY) {
            LOG.warnf(
                    "upstream '%s' is unhealthy, severity %d",
                    upstreamId, upstream.health().severity());
            metrics.recordEjection(upstreamId);
            publisher.publish();
        }
        work.payload().answer().complete(complete);
        next.forEach(waiting -> start(upstream, waiting));
    }

    private static Outcome outcome(Answer answer) {
        return Answers.verdict(answer) == Verdict.RAN ? Outcome.SUCCESS : Outcome.FAILURE;
    }

    // A request that was given less time than a usual one takes says nothing of the upstream.
    private static boolean saysSomething(HomeUpstream upstream, Answer answer, long givenMillis) {
        return switch (Answers.reason(answer)) {
            case MALFORMED_REQUEST, ANSWER_TOO_LARGE -> false;
            case DEADLINE_PASSED, BACKEND_SERVER_SHED -> givenMillis
                    >= Math.min(AMPLE_MILLIS, upstream.health().slowLimitMillis());
            default -> true;
        };
    }

    private static HomeLoad load(HomeUpstream upstream, String rank) {
        return HomeLoad.newBuilder()
                .setInFlight(upstream.gate().inFlight())
                .setQueued(upstream.gate().queued())
                .setSlots(upstream.gate().concurrencyLimit())
                .setExpectedWaitMillis(Math.round(upstream.gate().expectedWaitMillis(rank)))
                .build();
    }

    private void complete(WorkItem<PendingAttempt> work, Verdict verdict, Reason reason) {
        Attempt attempt = work.payload().attempt();
        attempts.refuse(control.nowMillis(), work.id());
        refuse(attempt, verdict, reason).thenAccept(work.payload().answer()::complete);
    }

    private CompletableFuture<Answer> refuseForGood(Attempt attempt, Reason reason) {
        attempts.refuse(control.nowMillis(), attempt.getAttemptId());
        return refuse(attempt, Verdict.NOT_RUN, reason);
    }

    private CompletableFuture<Answer> refuse(Attempt attempt, Verdict verdict, Reason reason) {
        metrics.recordRefusal(attempt.getContent().getService(), reason);
        return CompletableFuture.completedFuture(
                Answers.failure(verdict, reason, "refused by " + settings.nodeId()).toBuilder()
                        .setAttemptId(attempt.getAttemptId())
                        .build());
    }

    private void refuseWaiting(HomeUpstream upstream, Reason reason) {
        upstream.gate().removeAll().forEach(work -> complete(work, Verdict.NOT_RUN, reason));
    }

    private void expire() {
        attempts.expire(control.nowMillis());
        crashes.expire();
    }

    private void tick() {
        long now = control.nowMillis();
        long lease = settings.timing().announcementLease().millis();
        upstreams.values().forEach(upstream -> {
            upstream.noteOverdue(now);
            upstream.gate().removeExpired(now).forEach(work -> complete(work, Verdict.NOT_RUN, Reason.DEADLINE_PASSED));
            upstream.raiseLimit(now).forEach(work -> start(upstream, work));
        });
        List<HomeUpstream> lapsed = upstreams.values().stream()
                .filter(upstream -> upstream.leaseOver(now, lease))
                .toList();
        lapsed.forEach(upstream -> {
            LOG.infof(
                    "upstream '%s' no longer announces itself",
                    upstream.announcement().id());
            refuseWaiting(upstream, Reason.NO_UPSTREAM);
            upstreams.remove(upstream.announcement().id());
        });
        publisher.publish();
    }

    /**
     * What the home shares with the rest of its node.
     *
     * @param control the control thread
     * @param settings the node's settings
     * @param metrics the node's metrics
     * @param crashes requests that crashed upstreams
     */
    public record NodeContext(
            ControlThread control, NodeSettings settings, NodeMetrics metrics, CrashRegistry crashes) {}
}
