package org.sardineshunt.engine.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineshunt.coordination.membership.FleetWideRate;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.ManualTimerService;
import org.sardineshunt.engine.platform.TableStore.Row;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Plays stores that give no response for a while to nodes that wait for changes of a table. */
class TableWatchSilenceTest {
    private static final String TABLE = "table";
    private static final String OTHER_TABLE = "other";
    private static final long CHANGE_PAUSE_MILLIS = 100;

    // A change must be known this long after it was made, if the store has been stable for a while before.
    private static final long APPLY_MILLIS = 2_000;
    private static final long STABILITY_MILLIS = 3_000;

    private final ManualTimerService timers = new ManualTimerService();
    private final PlayedStore store = new PlayedStore(timers);
    private final List<Node> nodes = new ArrayList<>();

    /**
     * Guards against a change that is in force nowhere (CONFIG): the call that waited ended in a silence of the store, and the
     * next one was lost and waited for half a minute.
     */
    @ParameterizedTest
    @ValueSource(longs = {28_000, 29_990, 30_050, 31_600})
    void showsAChangeAfterASilenceInWhichTheWaitingCallEnded(long silenceStartMillis) {
        start(1, 1, false);
        change("1");
        timers.advance(silenceStartMillis);
        playSilence(4_500);
        timers.advance(STABILITY_MILLIS + 1_000);
        change("2");
        timers.advance(APPLY_MILLIS);
        assertThat(nodesWithout("2"), empty());
    }

    /** Guards against the same where the silence swallows the calls that all nodes make after a change (CONFIG). */
    @ParameterizedTest
    @CsvSource({"3, 60, 4500", "3, 60, 400", "12, 60, 4500", "76, 60, 1500", "76, 60, 9000", "300, 90, 4500"})
    void showsAChangeAfterASilenceRightBehindAnotherOne(int size, long delayMillis, long silenceMillis) {
        start(size, size, true);
        change("1");
        timers.advance(delayMillis);
        playSilence(silenceMillis);
        timers.advance(STABILITY_MILLIS + 1_000);
        change("2");
        timers.advance(APPLY_MILLIS);
        assertThat(nodesWithout("2"), empty());
    }

    /** The responses that would show the change are lost at all nodes. */
    @ParameterizedTest
    @ValueSource(ints = {3, 12, 76})
    void showsAChangeThatWasMadeJustBeforeASilence(int size) {
        start(size, size, true);
        timers.advance(10_000);
        silence(nodes, true);
        change("1");
        timers.advance(4_500);
        silence(nodes, false);
        timers.advance(STABILITY_MILLIS);
        assertThat(nodesWithout("1"), empty());
    }

    /** Some nodes get no responses, and what they wait for is lost; they learn of changes from the others. */
    @Test
    void aSilencedPartOfTheFleetFollowsTheTableAgain() {
        start(12, 12, true);
        timers.advance(10_000);
        List<Node> silenced = nodes.subList(0, 4);
        silence(silenced, true);
        change("1");
        timers.advance(9_000);
        silence(silenced, false);
        timers.advance(STABILITY_MILLIS);
        assertThat(nodesWithout("1"), empty());
        change("2");
        timers.advance(APPLY_MILLIS);
        assertThat(nodes.stream().filter(node -> !node.shows("2")).toList(), empty());
    }

    /** A node that hears of a change from elsewhere replaces the call that should have shown it. */
    @Test
    void checksTheTableIfAChangeIsKnownFromElsewhere() {
        start(1, 1, false);
        timers.advance(5_000);
        silence(nodes, true);
        change("1");
        timers.advance(100);
        silence(nodes, false);
        nodes.get(0).watch.expectChange();
        timers.advance(1_000);
        assertThat(nodes.get(0).shows("1"), is(true));
    }

    @Test
    void makesNoCallForAnExpectedChangeThatItShows() {
        start(1, 1, false);
        timers.advance(5_000);
        change("1");
        timers.advance(50);
        nodes.get(0).watch.expectChange();
        int calls = nodes.get(0).client.calls();
        timers.advance(5_000);
        assertThat(nodes.get(0).client.calls() - calls, is(1));
    }

    /** The watch of another table made no call in the silence, so its waiting call is replaced without having failed. */
    @Test
    void replacesTheWaitingCallsOfAllTablesAfterASilence() {
        start(1, 1, false);
        Node node = nodes.get(0);
        List<Row> changed = new ArrayList<>();
        TableWatch other = new TableWatch(
                timers,
                new EventLog("node", line -> {}),
                node.monitored,
                OTHER_TABLE,
                new TableWatch.Pacing(() -> 0, () -> TableWatch.Pacing.NEVER),
                new Random(5),
                changed::addAll);
        other.start();
        timers.advance(28_000);
        silence(nodes, true);
        store.put(OTHER_TABLE, "key", "lost");
        timers.advance(4_500);
        silence(nodes, false);
        timers.advance(STABILITY_MILLIS);
        assertThat(changed.size(), is(1));
    }

    /** A store that resets connections instead of being silent. */
    @Test
    void followsTheTableAgainAfterResets() {
        start(3, 3, true);
        timers.advance(10_000);
        nodes.forEach(node -> node.client.setResetting(true));
        timers.advance(4_500);
        nodes.forEach(node -> node.client.setResetting(false));
        timers.advance(STABILITY_MILLIS);
        change("1");
        timers.advance(APPLY_MILLIS);
        assertThat(nodesWithout("1"), empty());
    }

    /** A response to a call that was replaced arrives after its successor's. */
    @Test
    void ignoresTheLateResponseToAReplacedCall() {
        start(1, 1, false);
        Node node = nodes.get(0);
        node.client.ignoreCancellation();
        change("1");
        timers.advance(20_000);
        node.monitored.read(OTHER_TABLE, result -> {});
        silence(nodes, true);
        timers.advance(2_000);
        silence(nodes, false);
        node.monitored.read(OTHER_TABLE, result -> {});
        timers.advance(1_000);
        change("2");
        timers.advance(60_000);
        assertThat(node.shown, is(List.of("1", "2")));
    }

    /** A silence costs few calls, however long it is: all are priced. */
    @Test
    void makesFewCallsInASilence() {
        start(1, 1, false);
        timers.advance(28_000);
        int calls = nodes.get(0).client.calls();
        playSilence(9_000);
        timers.advance(STABILITY_MILLIS);
        assertThat(nodes.get(0).client.calls() - calls, lessThanOrEqualTo(8));
    }

    /** Guards against reading a table without a pause whose changes are never available. */
    @Test
    void pausesBetweenReadsIfTheHistoryStaysLost() {
        start(1, 1, false);
        store.loseHistory();
        change("1");
        int calls = nodes.get(0).client.calls();
        timers.advance(20_000);
        assertThat(nodes.get(0).client.calls() - calls, lessThanOrEqualTo(80));
    }

    private void start(int count, int fleetSize, boolean checking) {
        FleetWideRate checks = new FleetWideRate(2, 1_000);
        IntStream.range(0, count).forEach(index -> nodes.add(new Node(index, fleetSize, checking ? checks : null)));
        timers.advance(1_000);
    }

    private void change(String value) {
        store.put(TABLE, "key", value);
    }

    private void playSilence(long millis) {
        silence(nodes, true);
        timers.advance(millis);
        silence(nodes, false);
    }

    private static void silence(List<Node> silenced, boolean silent) {
        silenced.forEach(node -> node.client.setSilent(silent));
    }

    private List<Node> nodesWithout(String value) {
        return nodes.stream().filter(node -> !node.knows(value)).toList();
    }

    /** A node that follows the table and tells the others what it shows, if the fleet checks the table together. */
    private final class Node {
        private final PlayedStore.Client client = store.client();
        private final EventLog log = new EventLog("node", line -> {});
        private final MonitoredTableStore monitored = new MonitoredTableStore(timers, Runnable::run, log, client);
        private final List<String> shown = new ArrayList<>();
        private final List<String> told = new ArrayList<>();
        private final TableWatch watch;

        private Node(int seed, int fleetSize, FleetWideRate checks) {
            Random random = new Random(seed);
            TableWatch.Pacing pacing = new TableWatch.Pacing(
                    () -> CHANGE_PAUSE_MILLIS,
                    () -> checks == null ? TableWatch.Pacing.NEVER : checks.nextDelayMillis(fleetSize, random));
            watch = new TableWatch(timers, log, monitored, TABLE, pacing, random, this::apply);
            watch.start();
        }

        private void apply(List<Row> rows) {
            rows.forEach(row -> {
                String value = new String(row.value(), StandardCharsets.UTF_8);
                shown.add(value);
                nodes.forEach(other -> other.hear(value));
            });
        }

        private void hear(String value) {
            if (!told.contains(value)) {
                told.add(value);
                watch.expectChange();
            }
        }

        private boolean shows(String value) {
            return shown.contains(value);
        }

        private boolean knows(String value) {
            return shows(value) || told.contains(value);
        }

        @Override
        public String toString() {
            return "node that shows " + shown + " and was told " + told;
        }
    }
}
