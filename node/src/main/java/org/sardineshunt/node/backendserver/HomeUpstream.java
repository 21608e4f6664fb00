package org.sardineshunt.node.backendserver;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

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

/** One upstream of this home node: its announcement, queue and health. Belongs to the control thread. */
final class HomeUpstream {
    private final AdmissionQueue<PendingAttempt> gate;
    private final UpstreamHealth health;
    private final Map<String, Running> running = new HashMap<>();
    private final long rampMillis;
    private Announcement announcement;
    private ColdStartRamp ramp;
    private long announcedAtMillis;
    private boolean wasReady;
    private boolean holdsSuspect;
    private boolean paused;

    HomeUpstream(Announcement announcement, NodeSettings settings, HealthPolicy policy) {
        this.gate = AdmissionQueue.<PendingAttempt>builder()
                .ranks(settings.orderedRanks())
                .slots(1)
                .queueLimit(settings.limits().queuePerRank())
                .refuseWithoutSlack(settings.limits().refuseWithoutSlack())
                .build();
        this.health = new UpstreamHealth(policy);
        this.rampMillis = settings.timing().coldStartRamp().millis();
        this.announcement = announcement;
        this.ramp = new ColdStartRamp(0, rampMillis);
    }

    /** Takes over a repeated announcement and returns waiting work that may start. */
    List<WorkItem<PendingAttempt>> announce(long nowMillis, Announcement newAnnouncement) {
        announcement = newAnnouncement;
        announcedAtMillis = nowMillis;
        paused = false;
        if (announcement.ready() && !wasReady) {
            ramp = new ColdStartRamp(nowMillis, rampMillis);
        }
        wasReady = announcement.ready();
        return raiseLimit(nowMillis);
    }

    List<WorkItem<PendingAttempt>> raiseLimit(long nowMillis) {
        int limit = announcement.ready() && !paused ? ramp.usableSlots(nowMillis, announcement.slots()) : 0;
        return gate.setConcurrencyLimit(nowMillis, limit);
    }

    Announcement announcement() {
        return announcement;
    }

    AdmissionQueue<PendingAttempt> gate() {
        return gate;
    }

    UpstreamHealth health() {
        return health;
    }

    boolean leaseOver(long nowMillis, long leaseMillis) {
        return nowMillis - announcedAtMillis > leaseMillis;
    }

    /** Starts nothing until the upstream announces itself again, because it seems to have crashed. */
    void pauseUntilAnnounced(long nowMillis) {
        paused = true;
        raiseLimit(nowMillis);
    }

    boolean paused() {
        return paused;
    }

    /** Returns whether a request that may crash upstreams waits or runs here. */
    boolean holdsSuspect() {
        return holdsSuspect;
    }

    void holdSuspect(boolean holds) {
        holdsSuspect = holds;
    }

    /** Returns the work in flight and waiting relative to the limit. */
    double load() {
        return (gate.inFlight() + gate.queued() + 1.0) / Math.max(1, gate.concurrencyLimit());
    }

    void started(long nowMillis, String attemptId) {
        running.put(attemptId, new Running(nowMillis, false));
    }

    /** Records the end of an attempt and returns waiting work that may start. */
    List<WorkItem<PendingAttempt>> finished(long nowMillis, String attemptId, Outcome outcome, boolean says) {
        Running ended = running.remove(attemptId);
        long millis = ended == null ? 0 : nowMillis - ended.sinceMillis();
        boolean countedAsSlow = ended != null && ended.overdue();
        if (says && !(countedAsSlow && outcome == Outcome.SUCCESS)) {
            health.record(nowMillis, outcome, millis);
        }
        return gate.finish(nowMillis, outcome == Outcome.SUCCESS ? millis : -1);
    }

    /** Counts requests that are in flight for longer than the slow limit as evidence before they end. */
    void noteOverdue(long nowMillis) {
        running.replaceAll((id, request) -> {
            boolean overdue = !request.overdue() && nowMillis - request.sinceMillis() > health.slowLimitMillis();
            if (overdue) {
                health.recordOverdue(nowMillis);
            }
            return overdue ? new Running(request.sinceMillis(), true) : request;
        });
    }

    /** Returns the labels that selectors see. */
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
     * @param attempt the attempt
     * @param answer completed with its end
     */
    record PendingAttempt(Attempt attempt, CompletableFuture<Answer> answer) {}

    private record Running(long sinceMillis, boolean overdue) {}
}
