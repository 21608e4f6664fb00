package org.sardineshunt.engine;

import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EngineDirectoryTest {
    private static final int NODES = 2;

    private final EngineFleet fleet = new EngineFleet(NODES);

    @AfterEach
    void close() {
        fleet.close();
    }

    /** Nodes that followed the table alone refused requests for a new upstream for as long as the table was down. */
    @Test
    void learnsOfANewUpstreamWhileTheTableIsDown() {
        IntStream.range(0, NODES).forEach(index -> fleet.engine(index)
                .announce(EngineFleet.announcement(index, 2, Phase.DRAINING), () -> {}));
        Await.until("no upstream is left", () -> sendToNode0() == 503);
        fleet.table().setDown(true);
        fleet.engine(1).announce(new Announcement("upstream-1", 2_000, 1, "service", 4, Phase.READY, 0), () -> {});
        Await.until("node 0 uses the new upstream", () -> sendToNode0() == 200);
        assertThat(fleet.upstream(0).receivedRequests().isEmpty(), is(true));
    }

    private int sendToNode0() {
        return fleet.sendAndGetStatus(0, "GET", EngineFleet.LOOKUP_PATH);
    }
}
