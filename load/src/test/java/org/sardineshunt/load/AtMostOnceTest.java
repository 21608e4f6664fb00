package org.sardineshunt.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.standin.PlatformFaults;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

/** Sends keyed requests through several nodes while the platform, nodes and peer links fail. */
class AtMostOnceTest {
    private static final PlatformFaults OUTAGE = new PlatformFaults(true, 0, 0);

    private LocalFleet fleet;

    @BeforeEach
    void startFleet() {
        fleet = SmallFleet.start(6, 60);
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    @Test
    void simultaneousSendsThroughAllNodesRunOnce() {
        List<CompletableFuture<SmallFleet.Reply>> sends = IntStream.range(0, 4)
                .boxed()
                .flatMap(round -> fleet.nodeIds().stream())
                .map(nodeId -> CompletableFuture.supplyAsync(() -> book(nodeId, "key-1")))
                .toList();

        List<String> verdicts = sends.stream()
                .map(CompletableFuture::join)
                .map(SmallFleet.Reply::verdict)
                .toList();

        assertThat(verdicts, everyItem(is("ran")));
        assertThat(fleet.runsByWorkId().get("key-1"), is(1));
    }

    @Test
    void firstSendDuringAnOutageIsRefusedAndItsTicketRunsOnce() {
        fleet.platform().setFaults(OUTAGE);

        SmallFleet.Reply refused = bookAsFirstSend("dc-1-n1", "key-2");
        assertThat(refused.verdict(), is("not-run"));
        assertThat(refused.ticket(), is(notNullValue()));
        SmallFleet.Reply withTicket = book("dc-2-n1", refused.ticket(), "key-2");
        SmallFleet.Reply repeat = book("dc-3-n1", refused.ticket(), "key-2");

        assertThat(withTicket.verdict(), is("ran"));
        assertThat(repeat.body(), is(withTicket.body()));
        assertThat(fleet.runsByWorkId().get("key-2"), is(1));
    }

    @Test
    void repeatDuringAnOutageIsReportedAsMayHaveRun() {
        book("dc-1-n1", "key-3");
        fleet.platform().setFaults(OUTAGE);

        SmallFleet.Reply repeat = book("dc-2-n1", "key-3");

        assertThat(repeat.verdict(), is("may-have-run"));
        assertThat(repeat.ticket(), is(nullValue()));
        assertThat(fleet.runsByWorkId().get("key-3"), is(1));
    }

    @Test
    void keyedRequestRunsOnceAlthoughAnswersToTableWritesAreLost() {
        fleet.platform().setFaults(new PlatformFaults(false, 0, 2));

        Stream.of("dc-1-n1", "dc-2-n1", "dc-3-n1").forEach(nodeId -> book(nodeId, "key-4"));

        assertThat(fleet.runsByWorkId().get("key-4"), is(1));
    }

    @Test
    void repeatAfterTheAuthorityWasKilledMayHaveRunButDoesNotRunAgain() {
        book("dc-1-n1", "key-5");
        fleet.killNode("dc-1-n1");

        SmallFleet.Reply repeat = book("dc-2-n1", "key-5");

        assertThat(repeat.verdict(), is("may-have-run"));
        assertThat(fleet.runsByWorkId().get("key-5"), is(1));
    }

    @Test
    void repeatAfterTheAuthorityWasReplacedMayHaveRunButDoesNotRunAgain() {
        book("dc-1-n1", "key-6");
        fleet.killNode("dc-1-n1");
        fleet.startNode("dc-1-n1", "dc-1");

        SmallFleet.Reply repeat = book("dc-1-n1", "key-6");

        assertThat(repeat.verdict(), is("may-have-run"));
        assertThat(fleet.runsByWorkId().get("key-6"), is(1));
    }

    @Test
    void requestWithoutKeyRunsAtMostOnce() {
        fleet.partition("dc-2-n1", "dc-1-n1");
        fleet.partition("dc-3-n1", "dc-1-n1");

        Map<String, String> verdicts = new TreeMap<>();
        IntStream.range(0, 6)
                .forEach(number -> verdicts.put(
                        "plain-" + number,
                        SmallFleet.send(fleet, "dc-1-n1", "POST", "/plain/x", Map.of("X-Work-Id", "plain-" + number))
                                .verdict()));

        verdicts.forEach((workId, verdict) -> {
            int runs = fleet.runsByWorkId().getOrDefault(workId, 0);
            assertThat(workId, runs, lessThanOrEqualTo(verdict.equals("not-run") ? 0 : 1));
        });
    }

    @Test
    void killUnderLoadCausesNoDoubleRunsAndNoFalseNotRun() {
        LoadReport report = SmallFleet.runLoad(fleet, 6_000, 21, () -> {
            OperatorClient.sleep(1_500);
            fleet.killNode("dc-2-n1");
            OperatorClient.sleep(1_500);
            fleet.startNode("dc-2-n1", "dc-2");
        });

        assertThat(report.table(), report.safety().holds(), is(true));
    }

    @Test
    void partitionsDuringAnOutageCauseNoDoubleRunsAndNoFalseNotRun() {
        LoadReport report = SmallFleet.runLoad(fleet, 8_000, 22, () -> {
            OperatorClient.sleep(1_000);
            fleet.partition("dc-2-n1", "dc-1-n1");
            fleet.platform().setFaults(OUTAGE);
            OperatorClient.sleep(1_500);
            fleet.partition("dc-1-n1", "dc-3-n1");
            fleet.platform().setFaults(new PlatformFaults(false, 50, 20));
            OperatorClient.sleep(1_500);
            fleet.healPartitions();
            fleet.platform().setFaults(PlatformFaults.NONE);
        });

        assertThat(report.table(), report.safety().holds(), is(true));
    }

    private SmallFleet.Reply book(String nodeId, String key) {
        return book(nodeId, key, key);
    }

    // A ticket replaces the key of a repeat, so that key and work id differ then.
    private SmallFleet.Reply book(String nodeId, String key, String workId) {
        return SmallFleet.send(
                fleet, nodeId, "POST", "/seats/" + workId, Map.of("X-Work-Id", workId, "Idempotency-Key", key));
    }

    private SmallFleet.Reply bookAsFirstSend(String nodeId, String key) {
        return SmallFleet.send(
                fleet,
                nodeId,
                "POST",
                "/seats/" + key,
                Map.of("X-Work-Id", key, "Idempotency-Key", key, "Sardineshunt-First-Send", "true"));
    }
}
