package org.sardineshunt.load;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.sardineshunt.load.LoadPlan.Phase;
import org.sardineshunt.standin.PlatformFaults;
import org.sardineshunt.standin.ServerFaults;

/**
 * Scenarios of experiments. Each has three phases of ten seconds; the rates and faults of the scenario apply in the
 * second one, and the usual rates without faults in the others.
 */
enum Scenario {
    /** Usual rates and no faults. */
    STEADY("steady", Flood.NONE, fleet -> {}),
    /** The least urgent kind of the shared service floods it. */
    FLOOD_LEAST_URGENT("flood-least-urgent", Flood.LEAST_URGENT, fleet -> {}),
    /** The most urgent kind of the shared service floods it. */
    FLOOD_MOST_URGENT("flood-most-urgent", Flood.MOST_URGENT, fleet -> {}),
    /** Gray failure: one backend server answers 30% of requests with an error. */
    GRAY("gray", Flood.NONE, fleet -> fleet.server(firstUpstreamId(fleet)).setFaults(ServerFaults.errors(0.3))),
    /** One backend server takes ten times its usual service time. */
    SLOW("slow", Flood.NONE, fleet -> fleet.server(firstUpstreamId(fleet)).setFaults(ServerFaults.slow(10))),
    /** One backend server fails 80% of requests in every other period of two seconds. */
    FLAPPING("flapping", Flood.NONE, fleet -> fleet.server(firstUpstreamId(fleet))
            .setFaults(ServerFaults.errors(0.8).flapping(2_000))),
    /** The health endpoints of all backend servers report healthy, whatever their state. */
    LYING_HEALTH("lying-health", Flood.NONE, fleet -> fleet.allUpstreamIds()
            .forEach(id -> fleet.server(id).setFaults(new ServerFaults(0, 1, false, 0, "", true)))),
    /** The second node can't send frames to the first one. */
    CUT(
            "cut",
            Flood.NONE,
            fleet -> fleet.partition(fleet.nodeIds().get(1), fleet.nodeIds().get(0))),
    /** The platform answers all requests with status 503. */
    OUTAGE("platform-outage", Flood.NONE, fleet -> fleet.platform().setFaults(new PlatformFaults(true, 0, 0))),
    /** One backend server fails 30% of requests while the least urgent kind floods the shared service. */
    GRAY_IN_FLOOD("gray-in-flood", Flood.LEAST_URGENT, fleet -> fleet.server(firstUpstreamId(fleet))
            .setFaults(ServerFaults.errors(0.3)));

    private static final long PHASE_MILLIS = 10_000;

    private final String label;
    private final Flood flood;
    private final Consumer<LocalFleet> faultInjection;

    Scenario(String label, Flood flood, Consumer<LocalFleet> faultInjection) {
        this.label = label;
        this.flood = flood;
        this.faultInjection = faultInjection;
    }

    /** Returns the name of the scenario on the command line. */
    String label() {
        return label;
    }

    /** Returns the scenario with a name on the command line. */
    static Optional<Scenario> find(String label) {
        return Arrays.stream(values())
                .filter(scenario -> scenario.label.equals(label))
                .findFirst();
    }

    /** Returns the phases with the rates of each. */
    List<Phase> phases(Deployment deployment) {
        return List.of(
                new Phase("1-before", 0, PHASE_MILLIS, Map.of()),
                new Phase("2-fault", PHASE_MILLIS, 2 * PHASE_MILLIS, flood.rateFactors(deployment)),
                new Phase("3-after", 2 * PHASE_MILLIS, 3 * PHASE_MILLIS, Map.of()));
    }

    /** Injects the fault at the start of the second phase and removes it at its end; blocks until then. */
    void injectFault(LocalFleet fleet) {
        OperatorClient.sleep(PHASE_MILLIS);
        faultInjection.accept(fleet);
        OperatorClient.sleep(PHASE_MILLIS);
        fleet.healPartitions();
        fleet.platform().setFaults(PlatformFaults.NONE);
        fleet.allUpstreamIds().forEach(id -> fleet.server(id).setFaults(ServerFaults.NONE));
    }

    private static String firstUpstreamId(LocalFleet fleet) {
        return fleet.allUpstreamIds().get(0);
    }

    /** Kind of request that floods the shared service, at three times the capacity of the service. */
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
