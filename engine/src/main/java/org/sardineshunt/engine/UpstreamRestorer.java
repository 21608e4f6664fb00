package org.sardineshunt.engine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.peer.NodeDirectory;
import org.sardineshunt.engine.peer.UpstreamRecords;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.DepartureQuery;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;

/**
 * Restores the upstream of a restarted process from this node's row. The process before may have acknowledged a departure
 * that the table doesn't have, so other nodes are asked for one, and a row that says ready is used only if nodes that had
 * a link to that process know of none; otherwise the upstream's next announcement decides. Until then announcements are
 * held that would make an upstream ready which may have left before, because they may be late. Confined to the control
 * thread.
 */
final class UpstreamRestorer {
    // Copies of a departure go to all nodes, so these many are enough to ask.
    private static final int ASKED_NODES = 12;
    private static final int SUFFICIENT_ANSWERS = 3;
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    // Callers of an announcement wait at most a second for the acknowledgement.
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 600;

    private final EngineContext context;
    private final NodeDirectory directory;
    private final FleetHomeClient peers;
    private final Listener listener;

    // The newest of each start, in the order of arrival.
    private final List<Announcement> heldAnnouncements = new ArrayList<>();
    private final List<Runnable> heldAcknowledgements = new ArrayList<>();
    private int nodesWithoutDeparture;
    private boolean started;
    private boolean completed;

    /** Creates a restorer that has not started. */
    UpstreamRestorer(EngineContext context, NodeDirectory directory, FleetHomeClient peers, Listener listener) {
        this.context = context;
        this.directory = directory;
        this.peers = peers;
        this.listener = listener;
    }

    /** Returns whether {@link #start} was called. */
    boolean isStarted() {
        return started;
    }

    /** Returns whether all that the process before may have acknowledged is known, as far as it can be known. */
    boolean isCompleted() {
        return completed;
    }

    /**
     * Returns whether an announcement must wait until the upstream is restored. One that leaves is never too early, and
     * the process before can't have acknowledged the departure of an upstream that started after this process.
     */
    boolean mustHold(Announcement announcement) {
        return !completed
                && announcement.phase() == Phase.READY
                && announcement.startedEpochMillis() <= context.incarnation();
    }

    /**
     * Holds an announcement until the upstream is restored.
     *
     * @param acknowledge called when that is the case, or after a timeout
     */
    void hold(Announcement announcement, Runnable acknowledge) {
        context.log()
                .event("announcement-held")
                .with("upstream", announcement.id())
                .with("sequence", announcement.sequence())
                .with("born", announcement.startedEpochMillis())
                .write();
        heldAnnouncements.removeIf(
                held -> held.isSameStart(announcement) && held.sequence() <= announcement.sequence());
        heldAnnouncements.add(announcement);
        heldAcknowledgements.add(acknowledge);
        context.control().after(ACKNOWLEDGEMENT_TIMEOUT_MILLIS, () -> {
            if (heldAcknowledgements.remove(acknowledge)) {
                acknowledge.run();
            }
        });
    }

    /**
     * Starts to restore the upstream. The table must have been read.
     *
     * @param ownRow row that an earlier process of this node wrote on this instance, if there is one
     */
    void start(Optional<KnownNode> ownRow) {
        started = true;
        Optional<Announcement> stored = ownRow.flatMap(KnownNode::upstream);
        stored.filter(announcement -> announcement.phase() != Phase.READY)
                .ifPresent(announcement -> restore(announcement, "row"));
        // Also without a row that says ready: a later upstream may have left while the table didn't answer.
        askOtherNodes(stored, ownRow.map(KnownNode::incarnation));
    }

    private void askOtherNodes(Optional<Announcement> stored, Optional<Long> previousIncarnation) {
        List<KnownNode> others = new ArrayList<>(directory
                .nodes()
                .filter(node ->
                        !node.address().nodeId().equals(context.settings().nodeId()))
                .toList());
        Collections.shuffle(others, context.random());
        Frame query = Frame.newBuilder()
                .setDepartureQuery(DepartureQuery.newBuilder().setPreviousIncarnation(previousIncarnation.orElse(0L)))
                .build();
        peers.callReachable(
                others.stream().limit(ASKED_NODES),
                query,
                ANSWER_TIMEOUT_MILLIS,
                answer -> handleAnswer(stored, previousIncarnation.isPresent(), answer),
                () -> conclude(stored));
    }

    private void handleAnswer(Optional<Announcement> stored, boolean hadPreviousProcess, Answer answer) {
        Optional<Announcement> departure = departure(answer)
                .filter(departed ->
                        stored.filter(row -> row.supersedes(departed)).isEmpty());
        if (departure.isPresent()) {
            restore(departure.get(), "other node");
            complete();
        } else if ((answer.getKnewPreviousProcess() || !hadPreviousProcess)
                && ++nodesWithoutDeparture == SUFFICIENT_ANSWERS) {
            conclude(stored);
        }
    }

    private Optional<Announcement> departure(Answer answer) {
        if (!answer.hasDeparted()) {
            return Optional.empty();
        }
        return UpstreamRecords.tryDecode(answer.getDeparted())
                .peekLeft(cause -> context.log()
                        .event("departure-ignored")
                        .with("cause", cause)
                        .write())
                .toJavaOptional();
    }

    private void conclude(Optional<Announcement> stored) {
        if (completed) {
            return;
        }
        Optional<Announcement> ready = stored.filter(announcement -> announcement.phase() == Phase.READY);
        if (nodesWithoutDeparture > 0) {
            ready.ifPresent(announcement -> restore(announcement, "row"));
        } else {
            ready.ifPresent(this::logNotRestored);
        }
        complete();
    }

    private void logNotRestored(Announcement stored) {
        context.log()
                .event("upstream-not-restored")
                .with("upstream", stored.id())
                .with("cause", "no node had a link to the process before")
                .write();
    }

    private void restore(Announcement announcement, String source) {
        context.log()
                .event("upstream-restored")
                .with("upstream", announcement.id())
                .with("phase", announcement.phase().name())
                .with("source", source)
                .write();
        listener.restored(announcement);
    }

    private void complete() {
        completed = true;
        listener.completed(List.copyOf(heldAnnouncements));
        heldAnnouncements.clear();
        List<Runnable> acknowledgements = List.copyOf(heldAcknowledgements);
        heldAcknowledgements.clear();
        acknowledgements.forEach(Runnable::run);
    }

    /** Receives what was restored. */
    interface Listener {
        /** Called with the restored announcement; a departure may follow one that was ready. */
        void restored(Announcement announcement);

        /**
         * Called after the upstream was restored, or if it can't be; again if a departure became known later.
         *
         * @param held announcements that have arrived meanwhile, in that order
         */
        void completed(List<Announcement> held);
    }
}
