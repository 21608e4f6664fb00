package org.sardineshunt.engine;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.announcement.Announcement.Phase;

class EngineCancelledAttemptTest {
    private static final int REQUESTS = 3;

    private final EngineFleet fleet = new EngineFleet(2);

    @AfterEach
    void close() {
        fleet.close();
    }

    /** Attempts at other nodes counted as running for ever once they were cancelled, so their homes looked busy. */
    @Test
    void cancelledAttemptsAtOtherNodesDoNotCountAsRunning() {
        AtomicBoolean acknowledged = new AtomicBoolean();
        fleet.engine(0).announce(EngineFleet.announcement(0, 2, Phase.DRAINING), () -> acknowledged.set(true));
        Await.until("only node 1 has an upstream that is ready", acknowledged::get);
        fleet.upstream(1).setHandler(exchange -> {});
        List<EngineFleet.SentRequest> sent = IntStream.range(0, REQUESTS)
                .mapToObj(index -> fleet.send(0, "GET", EngineFleet.LOOKUP_PATH, 4_000))
                .toList();
        Await.until(
                "the requests arrived",
                () -> fleet.upstream(1).receivedRequests().size() == REQUESTS);
        sent.forEach(request -> request.call().cancel());
        Await.until("the attempts were cancelled", () -> fleet.upstream(1).disconnects() == REQUESTS);

        fleet.upstream(1).setHandler(fleet.upstream(1)::succeed);
        fleet.logLines().clear();

        Await.until("node 1 is known to be idle", () -> {
            fleet.sendAndGetStatus(0, "GET", EngineFleet.LOOKUP_PATH);
            return fleet.logLines().stream()
                    .anyMatch(line -> line.contains("attempt-sent") && line.contains("\"busy\":0,"));
        });
    }
}
