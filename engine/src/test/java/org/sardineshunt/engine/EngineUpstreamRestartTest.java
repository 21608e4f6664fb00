package org.sardineshunt.engine;

import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.engine.http.HttpHeader;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EngineUpstreamRestartTest {
    private static final int MISDIRECTED_REQUEST = 421;

    private final EngineFleet fleet = new EngineFleet(1);

    @AfterEach
    void close() {
        fleet.close();
    }

    /**
     * Guards against refusing all requests to a restarted upstream: after a power loss, its 421 for a request that was
     * sent to its earlier start was taken as a sign that another upstream has the address.
     */
    @Test
    void aLateRefusalOfAnEarlierStartDoesNotCountForTheCurrentOne() {
        FakeUpstream upstream = fleet.upstream(0);
        upstream.setHandler(exchange -> {});
        fleet.send(0, "POST", EngineFleet.BOOKING_PATH, 4_000);
        Await.until("a request was sent to the earlier start", () -> fleet.receivedRequestCount() == 1);
        fleet.engine(0).announce(new Announcement("next-start", 2_000, 1, "service", 4, Phase.READY, 0), () -> {});
        Await.until("the new start is known", () -> fleet.logLines().stream()
                .anyMatch(line -> line.contains("\"next-start\"")));
        upstream.setHandler(upstream::succeed);

        upstream.respond(upstream.receivedRequests().get(0), MISDIRECTED_REQUEST, new HttpHeader("X-Not-Run", "1"));

        Await.until("the refusal was processed", () -> fleet.logLines().stream()
                .anyMatch(line -> line.contains("attempt-failed")));
        assertThat(fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH), is(200));
    }

    /**
     * Guards against taking a delayed announcement for the state of the upstream: the restarted process had not read
     * its row yet, and then neither used it nor kept it.
     */
    @Test
    void keepsALeavingUpstreamOutWhenALateAnnouncementPrecedesTheStoredRow() {
        AtomicBoolean left = new AtomicBoolean();
        fleet.engine(0).leave("upstream-0", 0, () -> left.set(true));
        Await.until("the leave was stored", left::get);
        fleet.table().setDown(true);
        Engine restarted = fleet.restart(0);
        restarted.configure(EngineFleet.configuration(1, 4_000));
        AtomicBoolean acknowledged = new AtomicBoolean();
        restarted.announce(EngineFleet.announcement(0, 1, Phase.READY), () -> acknowledged.set(true));
        Await.until("the late announcement was acknowledged", acknowledged::get);
        fleet.upstream(0).receivedRequests().clear();

        fleet.table().setDown(false);
        Await.until("the restarted engine is ready", restarted::isReady);

        assertThat(fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH), is(503));
        assertThat(fleet.receivedRequestCount(), is(0));
    }
}
