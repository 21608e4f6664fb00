package org.sardineshunt.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.standin.ServerFaults;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class EjectionTest {
    private static final long DETECTION_MILLIS = 3_000;
    private static final String GRAY = "seat-booking-2";

    private LocalFleet fleet;
    private OperatorClient probe;

    @BeforeEach
    void startFleet() {
        fleet = SmallFleet.start(6, 40);
        probe = new OperatorClient(fleet);
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    @Test
    void upstreamWithThirtyPercentErrorsIsOutInTime() {
        assertThat(millisUntilOut(ServerFaults.errors(0.3)), lessThanOrEqualTo(DETECTION_MILLIS));
    }

    @Test
    void upstreamWithTenfoldLatencyIsOutInTime() {
        assertThat(millisUntilOut(ServerFaults.slow(10)), lessThanOrEqualTo(DETECTION_MILLIS));
    }

    @Test
    void hungUpstreamIsOutInTime() {
        assertThat(millisUntilOut(new ServerFaults(0, 1, true, 0, "", true)), lessThanOrEqualTo(DETECTION_MILLIS));
    }

    @Test
    void floorHoldsWhileHalfOfTheUpstreamsAreGray() {
        AtomicLong lowest = new AtomicLong(Long.MAX_VALUE);
        SmallFleet.load(fleet, 7_000, 31, () -> {
            OperatorClient.sleep(1_500);
            List.of("seat-booking-1", "seat-booking-2", "seat-booking-3", "seat-booking-4")
                    .forEach(id -> fleet.server(id).faults(ServerFaults.errors(0.5)));
            for (int sample = 0; sample < 50; sample++) {
                JsonNode service = probe.get("dc-1-n1", "/operator/services").path(0);
                lowest.accumulateAndGet(
                        service.path("slotsInUse").asLong()
                                - service.path("floorSlots").asLong(),
                        Math::min);
                OperatorClient.sleep(80);
            }
        });

        assertThat(lowest.get(), greaterThanOrEqualTo(0L));
    }

    @Test
    void healthyUpstreamsStayInWhateverTheirHealthEndpointsSay() {
        fleet.upstreams("seat-booking")
                .forEach(id -> fleet.server(id).faults(new ServerFaults(0, 1, false, 0, "", false)));

        SmallFleet.load(fleet, 8_000, 32, () -> {});

        assertThat(ejected(), is(empty()));
    }

    @Test
    void floodEjectsNoHealthyUpstreamAndCostsUrgentWorkNothing() {
        java.util.Set<String> out = new java.util.TreeSet<>();

        LoadReport report = SmallFleet.load(fleet, 7_000, 34, Map.of("status", 18.0), () -> {
            for (int sample = 0; sample < 60; sample++) {
                out.addAll(ejected());
                OperatorClient.sleep(100);
            }
        });

        assertThat(out, is(empty()));
        assertThat(report.table(), shareInTime(report, "booking"), greaterThanOrEqualTo(0.99));
    }

    @Test
    void recoveredUpstreamComesBackThroughLookups() {
        SmallFleet.load(fleet, 16_000, 33, () -> {
            OperatorClient.sleep(1_500);
            fleet.server(GRAY).faults(ServerFaults.errors(0.6));
            probe.await("out", () -> !probe.upstreamsInRotation("dc-1-n1").contains(GRAY));
            fleet.server(GRAY).faults(ServerFaults.NONE);
            probe.await("back", () -> probe.upstreamsInRotation("dc-1-n1").contains(GRAY));
        });

        assertThat(probe.upstreamsInRotation("dc-1-n1").contains(GRAY), is(true));
    }

    private long millisUntilOut(ServerFaults faults) {
        AtomicLong millis = new AtomicLong(Long.MAX_VALUE);
        SmallFleet.load(fleet, 7_000, 30, () -> {
            OperatorClient.sleep(2_500);
            fleet.server(GRAY).faults(faults);
            millis.set(probe.await("out of rotation", () -> !probe.upstreamsInRotation("dc-1-n1")
                    .contains(GRAY)));
        });
        return millis.get();
    }

    private static double shareInTime(LoadReport report, String kind) {
        return report.kinds().stream()
                .filter(figures -> figures.kind().equals(kind))
                .mapToDouble(figures -> (double) figures.inTime() / figures.sent())
                .sum();
    }

    private List<String> ejected() {
        return StreamSupport.stream(
                        probe.get("dc-1-n1", "/operator/services/seat-booking")
                                .path("upstreams")
                                .spliterator(),
                        false)
                .filter(upstream -> !upstream.path("use").asText().equals("full"))
                .map(upstream -> upstream.path("upstream").asText())
                .toList();
    }
}
