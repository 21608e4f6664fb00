package org.sardineshunt.engine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

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
 * that the table doesn't have, so a row that says ready is used only if nodes that had a link to that process know of no
 * departure; otherwise the upstream's next announcement decides. Confined to the control thread.
 */
final class UpstreamRestorer {
    // Copies of a departure go to all nodes, so these many are enough to ask.
    private static final int ASKED_NODES = 12;
    private static final int SUFFICIENT_ANSWERS = 3;
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    private final EventLog log;
    private final String ownId;
    private final NodeDirectory directory;
    private final FleetHomeClient peers;
    private final Random random;
    private final Consumer<Announcement> onRestored;
    private final Runnable onNotRestored;
    private int nodesWithoutDeparture;
    private boolean restored;

    /**
     * Creates a restorer.
     *
     * @param onRestored receives the restored announcement; a departure may follow one that was ready
     * @param onNotRestored called instead if the next announcement must be awaited
     */
    UpstreamRestorer(
            EventLog log,
            String ownId,
            NodeDirectory directory,
            FleetHomeClient peers,
            Random random,
            Consumer<Announcement> onRestored,
            Runnable onNotRestored) {
        this.log = log;
        this.ownId = ownId;
        this.directory = directory;
        this.peers = peers;
        this.random = random;
        this.onRestored = onRestored;
        this.onNotRestored = onNotRestored;
    }

    /**
     * Restores an announcement.
     *
     * @param stored announcement in the row of this node
     * @param previousIncarnation incarnation of the process that wrote the row
     */
    void restore(Announcement stored, long previousIncarnation) {
        if (stored.phase() != Phase.READY) {
            finish(stored, "row");
            return;
        }
        List<KnownNode> others = new ArrayList<>(directory
                .nodes()
                .filter(node -> !node.address().nodeId().equals(ownId))
                .toList());
        Collections.shuffle(others, random);
        Frame query = Frame.newBuilder()
                .setDepartureQuery(DepartureQuery.newBuilder().setPreviousIncarnation(previousIncarnation))
                .build();
        peers.callReachable(
                others.stream().limit(ASKED_NODES),
                query,
                ANSWER_TIMEOUT_MILLIS,
                answer -> handleAnswer(stored, answer),
                () -> handleEnd(stored));
    }

    private void handleAnswer(Announcement stored, Answer answer) {
        Optional<Announcement> departure = departure(answer).filter(departed -> !stored.supersedes(departed));
        if (departure.isPresent()) {
            finish(departure.get(), "other node");
        } else if (answer.getKnewPreviousProcess() && ++nodesWithoutDeparture == SUFFICIENT_ANSWERS) {
            finish(stored, "row");
        }
    }

    private Optional<Announcement> departure(Answer answer) {
        if (!answer.hasDeparted()) {
            return Optional.empty();
        }
        return UpstreamRecords.tryDecode(answer.getDeparted())
                .peekLeft(cause ->
                        log.event("departure-ignored").with("cause", cause).write())
                .toJavaOptional();
    }

    private void handleEnd(Announcement stored) {
        if (restored) {
            return;
        }
        if (nodesWithoutDeparture > 0) {
            finish(stored, "row");
        } else {
            log.event("upstream-not-restored")
                    .with("upstream", stored.id())
                    .with("cause", "no node had a link to the process before")
                    .write();
            onNotRestored.run();
        }
    }

    private void finish(Announcement announcement, String source) {
        if (restored && announcement.phase() == Phase.READY) {
            return;
        }
        restored = true;
        log.event("upstream-restored")
                .with("upstream", announcement.id())
                .with("phase", announcement.phase().name())
                .with("source", source)
                .write();
        onRestored.accept(announcement);
    }
}
