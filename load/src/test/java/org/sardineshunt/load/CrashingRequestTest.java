package org.sardineshunt.load;

import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.standin.ServerFaults;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Sends requests that crash each backend server which starts to run them. */
class CrashingRequestTest {
    private LocalFleet fleet;

    @BeforeEach
    void startFleet() {
        fleet = SmallFleet.start(6, 60);
        fleet.upstreamIds("seat-booking")
                .forEach(id -> fleet.server(id).setFaults(ServerFaults.NONE.crashingOn("poison")));
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    @Test
    void lookupThatCrashesServersIsRefusedAfterTwoCrashes() {
        IntStream.range(0, 8).forEach(number -> {
            SmallFleet.send(fleet, nodeId(number), "GET", "/seats/poison", Map.of("X-Work-Id", "p"));
            OperatorClient.sleep(300);
        });

        SmallFleet.Reply last = SmallFleet.send(fleet, "dc-3-n1", "GET", "/seats/poison", Map.of());
        assertThat(last.reason(), is("crashing-request"));
        assertThat(fleet.crashedServers().size(), lessThanOrEqualTo(2));
    }

    @Test
    void bookingThatCrashesAServerIsNotRunAgainUnderItsKey() {
        IntStream.range(0, 5).forEach(number -> {
            SmallFleet.send(
                    fleet, nodeId(number), "POST", "/seats/poison", Map.of("Idempotency-Key", "k", "X-Work-Id", "p"));
            OperatorClient.sleep(300);
        });

        assertThat(fleet.crashedServers().size(), is(1));
    }

    @Test
    void otherRequestsAreNotRefusedAfterTheCrashes() {
        LoadReport report = SmallFleet.runLoad(fleet, 6_000, 41, () -> {
            OperatorClient.sleep(1_500);
            IntStream.range(0, 4)
                    .forEach(number ->
                            SmallFleet.send(fleet, nodeId(number), "GET", "/seats/poison", Map.of("X-Work-Id", "p")));
        });

        assertThat(fleet.crashedServers().size(), lessThanOrEqualTo(2));
        assertThat(report.table(), report.safety().holds(), is(true));
        assertThat(
                report.table(),
                report.kinds().stream()
                        .flatMap(figures -> figures.reasons().keySet().stream())
                        .filter(reason -> reason.contains("crashing-request"))
                        .count(),
                is(0L));
    }

    private static String nodeId(int number) {
        return "dc-" + (1 + number % 3) + "-n1";
    }
}
