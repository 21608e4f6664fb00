package org.sardineshunt.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.sardineshunt.standin.ServerFaults;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Injects faults into backend servers under load and checks which upstreams leave the rotation. */
class EjectionTest {
    private static final long MAXIMUM_DETECTION_MILLIS = 3_000;
    private static final String FAULTY_UPSTREAM = "seat-booking-2";

    private LocalFleet fleet;
    private OperatorClient operatorClient;

    @BeforeEach
    void startFleet() {
        fleet = SmallFleet.start(6, 40);
        operatorClient = new OperatorClient(fleet);
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    @Tag("known-red")
    @Test
    void upstreamWithThirtyPercentErrorsIsEjectedWithinTheLimit() {
        assertThat(millisUntilEjected(ServerFaults.errors(0.3)), lessThanOrEqualTo(MAXIMUM_DETECTION_MILLIS));
    }

    @Test
    @Tag("known-red")
    void upstreamWithTenfoldLatencyIsEjectedWithinTheLimit() {
        assertThat(millisUntilEjected(ServerFaults.slow(10)), lessThanOrEqualTo(MAXIMUM_DETECTION_MILLIS));
    }

    @Tag("known-red")
    @Test
    void hungUpstreamIsEjectedWithinTheLimit() {
        assertThat(
                millisUntilEjected(new ServerFaults(0, 1, true, 0, "", true)),
                lessThanOrEqualTo(MAXIMUM_DETECTION_MILLIS));
    }

    @Test
    void capacityFloorHoldsWhileFourOfSixUpstreamsFail() {
        AtomicLong minimumSlotsAboveFloor = new AtomicLong(Long.MAX_VALUE);
        SmallFleet.runLoad(fleet, 7_000, 31, () -> {
            OperatorClient.sleep(1_500);
            List.of("seat-booking-1", "seat-booking-2", "seat-booking-3", "seat-booking-4")
                    .forEach(id -> fleet.server(id).setFaults(ServerFaults.errors(0.5)));
            for (int sample = 0; sample < 50; sample++) {
                JsonNode service =
                        operatorClient.get("dc-1-n1", "/operator/services").path(0);
                minimumSlotsAboveFloor.accumulateAndGet(
                        service.path("slotsInUse").asLong()
                                - service.path("floorSlots").asLong(),
                        Math::min);
                OperatorClient.sleep(80);
            }
        });

        assertThat(minimumSlotsAboveFloor.get(), greaterThanOrEqualTo(0L));
    }

    @Test
    void healthyUpstreamsStayInRotationWhateverTheirHealthEndpointsSay() {
        fleet.upstreamIds("seat-booking")
                .forEach(id -> fleet.server(id).setFaults(new ServerFaults(0, 1, false, 0, "", false)));

        SmallFleet.runLoad(fleet, 8_000, 32, () -> {});

        assertThat(ejected(), is(empty()));
    }

    @Tag("known-red")
    @Test
    void floodEjectsNoHealthyUpstreamAndKeepsUrgentRequestsOnTime() {
        java.util.Set<String> everEjected = new java.util.TreeSet<>();

        LoadReport report = SmallFleet.runLoad(fleet, 7_000, 34, Map.of("status", 18.0), () -> {
            for (int sample = 0; sample < 60; sample++) {
                everEjected.addAll(ejected());
                OperatorClient.sleep(100);
            }
        });

        assertThat(everEjected, is(empty()));
        assertThat(report.table(), shareInTime(report, "booking"), greaterThanOrEqualTo(0.99));
    }

    @Test
    void recoveredUpstreamReturnsToRotationThroughLookups() {
        SmallFleet.runLoad(fleet, 16_000, 33, () -> {
            OperatorClient.sleep(1_500);
            fleet.server(FAULTY_UPSTREAM).setFaults(ServerFaults.errors(0.6));
            operatorClient.await(
                    "out", () -> !operatorClient.upstreamsInRotation("dc-1-n1").contains(FAULTY_UPSTREAM));
            fleet.server(FAULTY_UPSTREAM).setFaults(ServerFaults.NONE);
            operatorClient.await(
                    "back", () -> operatorClient.upstreamsInRotation("dc-1-n1").contains(FAULTY_UPSTREAM));
        });

        assertThat(operatorClient.upstreamsInRotation("dc-1-n1").contains(FAULTY_UPSTREAM), is(true));
    }

    private long millisUntilEjected(ServerFaults faults) {
        AtomicLong millis = new AtomicLong(Long.MAX_VALUE);
        SmallFleet.runLoad(fleet, 7_000, 30, () -> {
            OperatorClient.sleep(2_500);
            fleet.server(FAULTY_UPSTREAM).setFaults(faults);
            millis.set(operatorClient.await(
                    "out of rotation",
                    () -> !operatorClient.upstreamsInRotation("dc-1-n1").contains(FAULTY_UPSTREAM)));
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
                        operatorClient
                                .get("dc-1-n1", "/operator/services/seat-booking")
                                .path("upstreams")
                                .spliterator(),
                        false)
                .filter(upstream -> !upstream.path("use").asText().equals("full"))
                .map(upstream -> upstream.path("upstream").asText())
                .toList();
    }
}
