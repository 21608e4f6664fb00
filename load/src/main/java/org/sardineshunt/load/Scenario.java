package org.sardineshunt.load;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.sardineshunt.load.LoadPlan.Phase;
import org.sardineshunt.standin.ServerFaults;
import org.sardineshunt.standin.TableFaults;

/** Experiments by name: rates by phase, and faults in the second of three phases of ten seconds. */
enum Scenario {
    STEADY("steady", Flood.NONE, fleet -> {}),
    FLOOD_LEAST_URGENT("flood-least-urgent", Flood.LEAST_URGENT, fleet -> {}),
    FLOOD_MOST_URGENT("flood-most-urgent", Flood.MOST_URGENT, fleet -> {}),
    GRAY("gray", Flood.NONE, fleet -> fleet.server(firstUpstreamId(fleet)).faults(ServerFaults.errors(0.3))),
    SLOW("slow", Flood.NONE, fleet -> fleet.server(firstUpstreamId(fleet)).faults(ServerFaults.slow(10))),
    FLAPPING("flapping", Flood.NONE, fleet -> fleet.server(firstUpstreamId(fleet))
            .faults(ServerFaults.errors(0.8).flapping(2_000))),
    LYING_HEALTH("lying-health", Flood.NONE, fleet -> fleet.allUpstreamIds()
            .forEach(id -> fleet.server(id).faults(new ServerFaults(0, 1, false, 0, "", true)))),
    CUT(
            "cut",
            Flood.NONE,
            fleet -> fleet.partition(fleet.nodeIds().get(1), fleet.nodeIds().get(0))),
    OUTAGE("platform-outage", Flood.NONE, fleet -> fleet.platform().faults(new TableFaults(true, 0, 0))),
    GRAY_IN_FLOOD("gray-in-flood", Flood.LEAST_URGENT, fleet -> fleet.server(firstUpstreamId(fleet))
            .faults(ServerFaults.errors(0.3)));

    private static final long PHASE_MILLIS = 10_000;

    private final String label;
    private final Flood flood;
    private final Consumer<LocalFleet> faultInjection;

    Scenario(String label, Flood flood, Consumer<LocalFleet> faultInjection) {
        this.label = label;
        this.flood = flood;
        this.faultInjection = faultInjection;
    }

    String label() {
        return label;
    }

    /** Returns the scenario with a name. */
    static Optional<Scenario> find(String label) {
        return Arrays.stream(values())
                .filter(scenario -> scenario.label.equals(label))
                .findFirst();
    }

    List<Phase> phases(Deployment deployment) {
        return List.of(
                new Phase("1-before", 0, PHASE_MILLIS, Map.of()),
                new Phase("2-fault", PHASE_MILLIS, 2 * PHASE_MILLIS, flood.rateFactors(deployment)),
                new Phase("3-after", 2 * PHASE_MILLIS, 3 * PHASE_MILLIS, Map.of()));
    }

    /** Causes the fault at the start of the second phase and mends it at its end. */
    void injectFault(LocalFleet fleet) {
        OperatorClient.sleep(PHASE_MILLIS);
        faultInjection.accept(fleet);
        OperatorClient.sleep(PHASE_MILLIS);
        fleet.healPartitions();
        fleet.platform().faults(TableFaults.NONE);
        fleet.allUpstreamIds().forEach(id -> fleet.server(id).faults(ServerFaults.NONE));
    }

    private static String firstUpstreamId(LocalFleet fleet) {
        return fleet.allUpstreamIds().get(0);
    }

    /** Which kind of work floods the service that several ranks share, at three times its capacity. */
    private enum Flood {
        NONE,
        LEAST_URGENT,
        MOST_URGENT;

        private static final double CAPACITY_FACTOR = 3;

        private Map<String, Double> rateFactors(Deployment deployment) {
            if (this == NONE) {
                return Map.of();
            }
            List<Deployment.WorkKind> sharedKinds = deployment.sharedKinds();
            Deployment.WorkKind floodingKind = sharedKinds.get(this == MOST_URGENT ? 0 : sharedKinds.size() - 1);
            double capacityPerSecond = deployment.capacityPerSecond(deployment.sharedService());
            return Map.of(floodingKind.name(), CAPACITY_FACTOR * capacityPerSecond / floodingKind.rate());
        }
    }
}
