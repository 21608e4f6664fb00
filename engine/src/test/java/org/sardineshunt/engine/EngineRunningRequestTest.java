package org.sardineshunt.engine;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.engine.http.HttpExchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EngineRunningRequestTest {
    private static final int SLOTS = 4;

    private final EngineFleet fleet = new EngineFleet(1);

    @AfterEach
    void close() {
        fleet.close();
    }

    /** A request holds its slot while it waits for its own call, so the call must start before new work of its rank. */
    @Test
    void startsCallsOfARunningRequestBeforeNewWorkOfItsRank() {
        fleet.upstream(0).setHandler(exchange -> {});
        List<EngineFleet.SentRequest> running = IntStream.range(0, SLOTS)
                .mapToObj(index -> fleet.send(0, "POST", EngineFleet.BOOKING_PATH, 4_000))
                .toList();
        Await.until("all slots are taken", () -> fleet.receivedRequestCount() == SLOTS);
        fleet.send(0, "POST", EngineFleet.BOOKING_PATH, 4_000, "waiting");
        fleet.send(0, "GET", EngineFleet.LOOKUP_PATH, 4_000, running.get(0).id() + "/call");
        Await.until(
                "the new request and the call were sent to the home",
                () -> fleet.logLines().stream()
                                .filter(line -> line.contains("attempt-sent"))
                                .filter(line -> line.contains("\"waiting\"") || line.contains("/call\""))
                                .count()
                        == 2);

        fleet.upstream(0).succeed(fleet.upstream(0).receivedRequests().get(1));

        Await.until("the released slot was taken", () -> fleet.receivedRequestCount() == SLOTS + 1);
        HttpExchange next = fleet.upstream(0).receivedRequests().get(SLOTS);
        assertThat(
                next.request().header("X-Request").orElse(""), is(running.get(0).id() + "/call"));
    }
}
