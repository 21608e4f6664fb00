package org.sardineshunt.node.backendserver;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.sardineshunt.coordination.health.ActiveClock;
import org.sardineshunt.coordination.health.HealthPolicy;
import org.sardineshunt.coordination.health.UpstreamHealth;
import org.sardineshunt.coordination.health.UpstreamHealth.Outcome;
import org.sardineshunt.coordination.limit.AdmissionQueue;
import org.sardineshunt.coordination.limit.ColdStartRamp;
import org.sardineshunt.coordination.limit.WorkItem;
import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.node.NodeSettings;
import org.sardineshunt.protocol.PeerMessages.Answer;
import org.sardineshunt.protocol.PeerMessages.Attempt;

/** One upstream of this home node: its announcement, admission queue and health. Confined to the control thread. */
final class HomeUpstream {
    private final AdmissionQueue<PendingAttempt> admissionQueue;
    private final UpstreamHealth health;
    private final Map<String, RunningAttempt> runningAttempts = new HashMap<>();
    private final ActiveClock clock;
    private final long coldStartRampMillis;
    private Announcement announcement;
    private ColdStartRamp coldStartRamp;
    private long announcedAtMillis;
    private boolean wasReady;
    private boolean holdsSuspect;
    private boolean paused;

    /**
     * Creates an upstream without attempts.
     *
     * @param clock clock for the control thread, whose delay is no evidence against the upstream; its tick is {@link
     *     #recordOverdueAttempts}
     */
    HomeUpstream(Announcement announcement, NodeSettings settings, HealthPolicy healthPolicy, ActiveClock clock) {
        this.admissionQueue = AdmissionQueue.<PendingAttempt>builder()
                .ranks(settings.orderedRanks())
                .slots(1)
                .queueLimit(settings.limits().queuePerRank())
                .refuseWithoutSlack(settings.limits().refuseWithoutSlack())
                .build();
        this.health = new UpstreamHealth(healthPolicy);
        this.clock = clock;
        this.coldStartRampMillis = settings.timing().coldStartRamp().millis();
        this.announcement = announcement;
        this.coldStartRamp = new ColdStartRamp(0, coldStartRampMillis);
    }

    /** Adopts an announcement and renews the lease; returns waiting work that got a slot, for the caller to start. */
    List<WorkItem<PendingAttempt>> updateAnnouncement(long nowMillis, Announcement newAnnouncement) {
        announcement = newAnnouncement;
        announcedAtMillis = nowMillis;
        paused = false;
        if (announcement.ready() && !wasReady) {
            coldStartRamp = new ColdStartRamp(nowMillis, coldStartRampMillis);
        }
        wasReady = announcement.ready();
        return updateConcurrencyLimit(nowMillis);
    }

    /**
     * Sets the concurrency limit by the state of the upstream and its cold-start ramp; returns waiting work that got a
     * slot, for the caller to start.
     */
    List<WorkItem<PendingAttempt>> updateConcurrencyLimit(long nowMillis) {
        int concurrencyLimit =
                announcement.ready() && !paused ? coldStartRamp.usableSlots(nowMillis, announcement.slots()) : 0;
        return admissionQueue.setConcurrencyLimit(nowMillis, concurrencyLimit);
    }

    Announcement announcement() {
        return announcement;
    }

    AdmissionQueue<PendingAttempt> admissionQueue() {
        return admissionQueue;
    }

    UpstreamHealth health() {
        return health;
    }

    boolean isLeaseExpired(long nowMillis, long leaseMillis) {
        return nowMillis - announcedAtMillis > leaseMillis;
    }

    /** Starts no work until the next announcement; called when the upstream seems to have crashed. */
    void pauseUntilAnnounced(long nowMillis) {
        paused = true;
        updateConcurrencyLimit(nowMillis);
    }

    boolean isPaused() {
        return paused;
    }

    /** Returns whether a request suspected of crashing upstreams waits or runs here. */
    boolean holdsSuspect() {
        return holdsSuspect;
    }

    void setHoldsSuspect(boolean newHoldsSuspect) {
        holdsSuspect = newHoldsSuspect;
    }

    /** Returns the requests in flight and waiting, with one more, relative to the concurrency limit. */
    double relativeLoad() {
        return (admissionQueue.inFlight() + admissionQueue.queued() + 1.0)
                / Math.max(1, admissionQueue.concurrencyLimit());
    }

    void recordStart(long nowMillis, String attemptId) {
        runningAttempts.put(attemptId, new RunningAttempt(nowMillis, clock.activeMillis(nowMillis), false));
    }

    /**
     * Returns for how many milliseconds an attempt ran at the upstream, as far as this node can tell: until its answer
     * arrived, and without the time for which the control thread was late. 0 if the attempt isn't running.
     */
    long upstreamMillis(long nowMillis, long answeredMillis, String attemptId) {
        RunningAttempt attempt = runningAttempts.get(attemptId);
        return attempt == null
                ? 0
                : Math.min(
                        answeredMillis - attempt.startedMillis(),
                        clock.activeMillis(nowMillis) - attempt.startedActiveMillis());
    }

    /**
     * Records the end of an attempt and returns waiting work that got a slot, for the caller to start. A success that
     * was already recorded as overdue is not recorded again.
     *
     * @param answeredMillis when the answer arrived at this node
     * @param healthEvidence whether the outcome counts towards the health of the upstream
     */
    List<WorkItem<PendingAttempt>> recordEnd(
            long nowMillis, long answeredMillis, String attemptId, Outcome outcome, boolean healthEvidence) {
        long latencyMillis = upstreamMillis(nowMillis, answeredMillis, attemptId);
        RunningAttempt ended = runningAttempts.remove(attemptId);
        boolean countedAsOverdue = ended != null && ended.overdue();
        if (healthEvidence && !(countedAsOverdue && outcome == Outcome.SUCCESS)) {
            health.record(nowMillis, outcome, latencyMillis);
        }
        long slotMillis = ended == null ? 0 : nowMillis - ended.startedMillis();
        return admissionQueue.finish(nowMillis, outcome == Outcome.SUCCESS ? slotMillis : -1);
    }

    /**
     * Records each attempt that has run for longer than the slow limit as overdue, once and before its end. Called in
     * each tick period of the clock.
     */
    void recordOverdueAttempts(long nowMillis) {
        clock.tick(nowMillis);
        long activeMillis = clock.activeMillis(nowMillis);
        runningAttempts.replaceAll((attemptId, attempt) -> {
            boolean overdue =
                    !attempt.overdue() && activeMillis - attempt.startedActiveMillis() > health.slowLimitMillis();
            if (overdue) {
                health.recordOverdue(nowMillis);
            }
            return overdue ? attempt.asOverdue() : attempt;
        });
    }

    /** Returns the announced labels and those that the home node sets, which the selectors of intents match. */
    Map<String, String> labels(Member home) {
        Map<String, String> labels = new TreeMap<>(announcement.labels());
        labels.put("service", announcement.service());
        labels.put("upstream", announcement.id());
        labels.put("node", home.nodeId());
        labels.put("data-centre", home.location().dataCentre());
        labels.put("region", home.location().region());
        return labels;
    }

    /**
     * An attempt that waits or runs.
     *
     * @param attempt the attempt as it was received
     * @param answer completed when the attempt ends or is refused
     */
    record PendingAttempt(Attempt attempt, CompletableFuture<Answer> answer) {}

    private record RunningAttempt(long startedMillis, long startedActiveMillis, boolean overdue) {
        private RunningAttempt asOverdue() {
            return new RunningAttempt(startedMillis, startedActiveMillis, true);
        }
    }
}
