package org.sardineshunt.engine;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.engine.protocol.EngineMessages.NodeRecord;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Tables that come back from an older copy. */
class EngineStoreRecoveryTest {
    private static final int NODES = 3;
    private static final String NODES_TABLE = "sardineshunt-nodes";

    private final FakeTable.Copy emptyCopy = new FakeTable().copy();
    private final EngineFleet fleet = new EngineFleet(NODES);
    private final FakeTable.Copy readyCopy = fleet.table().copy();

    @AfterEach
    void close() {
        fleet.close();
    }

    /** Guards against reviving an upstream that has left (DRAIN): its row was back as ready when its node started again. */
    @Test
    void aStoredLeaveIsStoredAgainAfterTheReturnOfAnOlderCopy() {
        leaveAndAwaitAcknowledgement(1);
        fleet.table().comeBack(readyCopy);
        Await.until("the table has the leave again", () -> storedPhase(1) == Phase.LEFT);

        awaitReadyAfterRestart(1);
        assertNoRequestReachesUpstream(1);
        assertThat(storedPhase(1), is(Phase.LEFT));
    }

    /** The process was killed before it could write its row again, so only other nodes know of the leave. */
    @Test
    void aStoredLeaveOutlivesAProcessThatIsKilledDuringTheReturnOfAnOlderCopy() {
        leaveAndAwaitAcknowledgement(1);
        // Only records of nodes name the phase of their upstreams, so requests at the others show that they have it.
        IntStream.of(0, 2).forEach(this::awaitLeaveKnownAt);
        fleet.table().setDown(true);
        Engine restarted = fleet.restartAtSameAddress(1);
        restarted.configure(EngineFleet.configuration(1, 4_000));
        fleet.table().comeBack(readyCopy);
        Await.until("the restarted engine is ready", restarted::isReady);
        Await.until("the table has the leave again", () -> storedPhase(1) == Phase.LEFT);

        announceAndAwaitAcknowledgement(EngineFleet.announcement(1, 9, Phase.READY));
        assertNoRequestReachesUpstream(1);
    }

    /** Guards against acknowledging by what the table has lost: a planned stop waits for the row. */
    @Test
    void aPlannedStopDuringTheReturnOfAnOlderCopyStoresTheLeaveAgain() {
        leaveAndAwaitAcknowledgement(1);
        fleet.table().comeBack(readyCopy);
        Await.until("the node has noticed the return", () -> countLines("store-era-changed", 1) > 0);
        fleet.engine(1).stop().join();
        assertThat(storedPhase(1), is(Phase.LEFT));
    }

    /** Guards against nodes that forget each other for good: the copy was made before their rows were written. */
    @Test
    void nodesGoOnTogetherWhoseRowsAreAllLost() {
        fleet.table().comeBack(emptyCopy);
        IntStream.range(0, NODES)
                .forEach(index -> Await.until(
                        "the row of node " + index + " was written again",
                        () -> fleet.table().value(NODES_TABLE, "node-" + index) != null));
        IntStream.range(0, NODES)
                .forEach(index -> Await.until("node " + index + " has noticed the return", () -> noticed(index)));
        Await.until("all upstreams receive requests, of which none fails", () -> {
            IntStream.range(0, 4 * NODES)
                    .forEach(request -> assertThat(
                            fleet.sendAndGetStatus(request % NODES, "GET", EngineFleet.LOOKUP_PATH), is(200)));
            return IntStream.range(0, NODES)
                    .noneMatch(index -> fleet.upstream(index).receivedRequests().isEmpty());
        });
    }

    /** Guards against a row that is never written again, because its version went back (issue 37). */
    @Test
    void storesALaterDepartureAfterTheReturnOfAnOlderCopy() {
        fleet.table().comeBack(emptyCopy);
        leaveAndAwaitAcknowledgement(2);
        Await.until("the table has the leave", () -> storedPhase(2) == Phase.LEFT);
    }

    /** Guards against a row that is never written again, because it was removed and its version is still expected. */
    @Test
    void storesALaterDepartureAfterItsRowWasRemoved() {
        fleet.table().remove(NODES_TABLE, "node-2");
        leaveAndAwaitAcknowledgement(2);
        Await.until("the table has the leave", () -> storedPhase(2) == Phase.LEFT);
    }

    private boolean noticed(int index) {
        return countLines("store-era-changed", index) > 0;
    }

    private long countLines(String event, int index) {
        return fleet.logLines().stream()
                .filter(line -> line.contains("\"node\":\"node-" + index + '"') && line.contains(event))
                .count();
    }

    private void awaitLeaveKnownAt(int index) {
        Await.until("node " + index + " knows of the leave", () -> fleet.logLines().stream()
                .filter(line -> line.contains("\"node\":\"node-" + index + '"'))
                .anyMatch(line -> line.contains("\"peer\":\"node-1\"") && line.contains("\"phase\":\"LEFT\"")));
    }

    private void awaitReadyAfterRestart(int index) {
        Engine restarted = fleet.restart(index);
        restarted.configure(EngineFleet.configuration(1, 4_000));
        Await.until("the restarted engine is ready", restarted::isReady);
    }

    private void announceAndAwaitAcknowledgement(Announcement announcement) {
        AtomicBoolean acknowledged = new AtomicBoolean();
        fleet.engine(1).announce(announcement, () -> acknowledged.set(true));
        Await.until("the announcement was acknowledged", acknowledged::get);
    }

    private void leaveAndAwaitAcknowledgement(int index) {
        AtomicBoolean acknowledged = new AtomicBoolean();
        fleet.engine(index).leave("upstream-" + index, 0, () -> acknowledged.set(true));
        Await.until("the leave was acknowledged", acknowledged::get);
    }

    private void assertNoRequestReachesUpstream(int index) {
        fleet.upstream(index).receivedRequests().clear();
        IntStream.range(0, 4 * NODES)
                .forEach(request -> fleet.sendAndGetStatus(request % NODES, "GET", EngineFleet.LOOKUP_PATH));
        assertThat(fleet.upstream(index).receivedRequests().size(), is(0));
    }

    private Phase storedPhase(int index) {
        byte[] row = fleet.table().value(NODES_TABLE, "node-" + index);
        try {
            return row == null
                    ? Phase.READY
                    : Phase.ofOrdinal(NodeRecord.parseFrom(row).getUpstream().getPhase());
        } catch (InvalidProtocolBufferException malformed) {
            throw new AssertionError("row of node-" + index + " is malformed", malformed);
        }
    }
}
