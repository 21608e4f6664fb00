package org.sardineshunt.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.engine.peer.NodeDirectory;
import org.sardineshunt.engine.peer.UpstreamRecords;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Departure;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;

/**
 * Acknowledges announcements of the local upstream. A departure is acknowledged only once it outlives this process: when
 * the table has stored it or, while the table doesn't answer, when other nodes have recorded it; they tell it to the
 * next process of this node. An announcement of a ready upstream promises nothing and is acknowledged after a timeout at
 * the latest. Confined to the control thread.
 */
final class AnnouncementAcknowledger {
    private static final long READY_TIMEOUT_MILLIS = 600;

    // Time for the table to store a departure before other nodes are asked to record it.
    private static final long TABLE_PATIENCE_MILLIS = 200;

    // Departures are sent again, for nodes that have restarted or could not be reached.
    private static final long COPY_PERIOD_MILLIS = 1_000;

    // One of these nodes may be stopped together with this one.
    private static final int REQUIRED_COPIES = 2;

    private final TimerService timers;
    private final EventLog log;
    private final String ownId;
    private final NodeDirectory directory;
    private final FleetHomeClient peers;
    private final List<Waiting> waitingAnnouncements = new ArrayList<>();
    private Optional<Announcement> stored = Optional.empty();
    private Optional<Announcement> recordedByPeers = Optional.empty();
    private Optional<Announcement> sentToPeers = Optional.empty();

    AnnouncementAcknowledger(
            TimerService timers, EventLog log, String ownId, NodeDirectory directory, FleetHomeClient peers) {
        this.timers = timers;
        this.log = log;
        this.ownId = ownId;
        this.directory = directory;
        this.peers = peers;
    }

    /**
     * Acknowledges an announcement as soon as that is allowed.
     *
     * @param current state of the upstream after the announcement
     * @param changed whether the announcement changed that state
     */
    void acknowledge(Announcement current, boolean changed, Runnable acknowledgement) {
        boolean ready = current.phase() == Phase.READY;
        if (ready && !changed || isDurable(current)) {
            acknowledgement.run();
            return;
        }
        Waiting waiting = new Waiting(current, acknowledgement);
        waitingAnnouncements.add(waiting);
        if (ready) {
            timers.after(READY_TIMEOUT_MILLIS, () -> acknowledgeIfWaiting(waiting));
        } else if (sentToPeers.filter(current::equals).isEmpty()) {
            sentToPeers = Optional.of(current);
            timers.after(TABLE_PATIENCE_MILLIS, () -> copyToPeers(current));
        }
    }

    /** Records that this node's row in the table has the given announcement. */
    void recordStored(Announcement announcement) {
        stored = Optional.of(announcement);
        acknowledgeDurable();
    }

    /** Forgets what the table has, because it has come back from an older copy. */
    void forgetStored() {
        stored = Optional.empty();
    }

    /** Returns whether the table lacks a departure of the upstream. */
    boolean isUnstoredDeparture(Announcement current) {
        return current.phase() != Phase.READY && !isCovered(stored, current);
    }

    private void copyToPeers(Announcement departure) {
        if (sentToPeers.filter(departure::equals).isEmpty() || isCovered(stored, departure)) {
            return;
        }
        Frame message = Frame.newBuilder()
                .setDeparture(Departure.newBuilder().setUpstream(UpstreamRecords.encode(departure)))
                .build();
        List<Answer> confirmations = new ArrayList<>();
        peers.callReachable(
                directory.nodes(),
                message,
                COPY_PERIOD_MILLIS,
                answer -> {
                    if (answer.getReason().equals(Reason.NONE.label())) {
                        confirmations.add(answer);
                        recordConfirmations(departure, confirmations.size());
                    }
                },
                () -> {});
        timers.after(COPY_PERIOD_MILLIS, () -> copyToPeers(departure));
    }

    private void recordConfirmations(Announcement departure, int confirmations) {
        long otherNodes = directory
                .nodes()
                .filter(node -> !node.address().nodeId().equals(ownId))
                .count();
        if (confirmations != Math.min(REQUIRED_COPIES, otherNodes)) {
            return;
        }
        log.event("departure-copied")
                .with("upstream", departure.id())
                .with("phase", departure.phase().name())
                .with("nodes", confirmations)
                .write();
        recordedByPeers = Optional.of(departure);
        acknowledgeDurable();
    }

    private void acknowledgeDurable() {
        List<Waiting> durable = waitingAnnouncements.stream()
                .filter(waiting -> isDurable(waiting.announcement()))
                .toList();
        waitingAnnouncements.removeAll(durable);
        durable.forEach(waiting -> waiting.acknowledgement().run());
    }

    private void acknowledgeIfWaiting(Waiting waiting) {
        if (waitingAnnouncements.remove(waiting)) {
            waiting.acknowledgement().run();
        }
    }

    private boolean isDurable(Announcement announcement) {
        return isCovered(stored, announcement) || isCovered(recordedByPeers, announcement);
    }

    private static boolean isCovered(Optional<Announcement> kept, Announcement announcement) {
        return kept.filter(known -> known.supersedes(announcement)).isPresent();
    }

    private record Waiting(Announcement announcement, Runnable acknowledgement) {}
}
