package org.sardineshunt.load;

import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.standin.BackendServerStandIn;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Stops nodes and backend servers gracefully under load; no request may be cut off, lost or run twice. */
class PlannedStopTest {
    private static final long MAXIMUM_MILLIS_UNTIL_LAST_REQUEST = 3_000;

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
    void plannedStopCutsOffNoRequestInFlight() {
        AtomicBoolean nothingCutOff = new AtomicBoolean();

        LoadReport report = SmallFleet.runLoad(fleet, 4_000, 11, () -> {
            OperatorClient.sleep(1_500);
            nothingCutOff.set(fleet.stopNode("dc-2-n1"));
        });

        assertThat("all requests in flight ended", nothingCutOff.get(), is(true));
        assertThat(report.table(), report.safety().holds(), is(true));
        assertThat(report.table(), unanswered(report), is(0L));
    }

    @Test
    void repeatAfterAPlannedStopIsReplayedByTheSuccessor() {
        Map<String, String> headers = Map.of("X-Work-Id", "w1", "Idempotency-Key", "key-1");
        SmallFleet.Reply first = SmallFleet.send(fleet, "dc-2-n1", "POST", "/seats/1", headers);
        fleet.stopNode("dc-2-n1");

        SmallFleet.Reply repeat = SmallFleet.send(fleet, "dc-1-n1", "POST", "/seats/1", headers);

        assertThat(repeat.verdict(), is("ran"));
        assertThat(repeat.body(), is(first.body()));
        assertThat(fleet.runsByWorkId().get("w1"), is(1));
    }

    @Test
    void leavingBackendServerReceivesNoNewRequests() {
        BackendServerStandIn leaving = fleet.server("seat-booking-1");

        SmallFleet.runLoad(fleet, 6_000, 12, () -> {
            OperatorClient.sleep(1_500);
            leaving.startLeaving();
        });

        assertThat(leaving.lastRequestAfterLeavingMillis(), lessThan(MAXIMUM_MILLIS_UNTIL_LAST_REQUEST));
        assertThat(leaving.runningRequests(), is(0));
    }

    @Test
    void leavingBackendServerReceivesNoNewRequestsEvenIfNoEntryIsTold() {
        String home = fleet.homeOf("seat-booking-1");
        BackendServerStandIn leaving = fleet.server("seat-booking-1");

        LoadReport report = SmallFleet.runLoad(fleet, 6_000, 13, () -> {
            OperatorClient.sleep(1_000);
            fleet.nodeIds().forEach(other -> fleet.partition(home, other));
            leaving.startLeaving();
        });

        assertThat(leaving.lastRequestAfterLeavingMillis(), lessThan(MAXIMUM_MILLIS_UNTIL_LAST_REQUEST));
        assertThat(report.table(), report.safety().holds(), is(true));
    }

    @Test
    void replacingEveryNodeLosesAndDoublesNoRequest() {
        LoadReport report = SmallFleet.runLoad(fleet, 12_000, 14, () -> {
            fleet.replaceNode("dc-1-n1", "dc-1");
            fleet.replaceNode("dc-2-n1", "dc-2");
            fleet.replaceNode("dc-3-n1", "dc-3");
        });

        assertThat(report.table(), report.safety().holds(), is(true));
    }

    // Counts requests without an answer. A refused connection doesn't count: no request was sent over it.
    private static long unanswered(LoadReport report) {
        return report.kinds().stream()
                .flatMap(figures -> figures.reasons().entrySet().stream())
                .filter(entry ->
                        entry.getKey().contains("client: ") && !entry.getKey().contains("Failed to connect"))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
