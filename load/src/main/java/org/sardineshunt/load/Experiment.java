package org.sardineshunt.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;

import org.sardineshunt.load.BaselineProxy.Policy;
import org.sardineshunt.node.NodeSettings;
import org.sardineshunt.node.NodeSettings.LimitSettings;

/** Runs one scenario with the fleet and with baseline proxies, on the same arrival times. */
final class Experiment {
    private static final int BASELINE_PROXIES = 3;
    private static final long WARM_UP_MILLIS = 4_000;

    private final Deployment deployment;
    private final NodeSettings template;
    private final Scenario scenario;
    private final long seed;

    Experiment(Deployment deployment, NodeSettings template, Scenario scenario, long seed) {
        this.deployment = deployment;
        this.template = template;
        this.scenario = scenario;
        this.seed = seed;
    }

    /**
     * Runs the scenario on several systems, one after the other.
     *
     * @param systems {@code round-robin} or {@code least-outstanding} for baseline proxies;
     *     {@code without-slack-refusal} for a fleet that doesn't refuse requests which it can't answer before their
     *     deadline; any other name for the fleet as its settings say
     */
    List<SystemResult> run(List<String> systems) {
        return systems.stream().map(this::runSystem).toList();
    }

    private SystemResult runSystem(String system) {
        boolean withoutSlack = system.equals("without-slack-refusal");
        NodeSettings settings = withoutSlack ? withoutSlackRefusal(template) : template;
        try (LocalFleet fleet = LocalFleet.start(deployment, settings, nodeSettings -> nodeSettings)) {
            return switch (system) {
                case "round-robin" -> runBaseline(fleet, system, Policy.ROUND_ROBIN);
                case "least-outstanding" -> runBaseline(fleet, system, Policy.LEAST_OUTSTANDING);
                default -> runFleet(fleet, system);
            };
        }
    }

    private static NodeSettings withoutSlackRefusal(NodeSettings settings) {
        LimitSettings limits = settings.limits();
        return new NodeSettings(
                settings.nodeId(),
                settings.dataCentre(),
                settings.region(),
                settings.ports(),
                settings.seeds(),
                settings.platform(),
                settings.ranks(),
                settings.routes(),
                settings.floorShare(),
                settings.accounts(),
                settings.timing(),
                new LimitSettings(
                        limits.body(),
                        limits.frame(),
                        limits.queuePerRank(),
                        limits.keptKeys(),
                        limits.claimsPerSecond(),
                        false));
    }

    private SystemResult runFleet(LocalFleet fleet, String system) {
        RotationWatcher watcher = new RotationWatcher(fleet);
        LoadReport report = runLoad(fleet, fleet.callerUrls(), watcher);
        return new SystemResult(system, report, fleet.receivedRequests(), watcher.events());
    }

    private SystemResult runBaseline(LocalFleet fleet, String system, Policy policy) {
        List<BaselineProxy> proxies = IntStream.range(0, BASELINE_PROXIES)
                .mapToObj(number -> new BaselineProxy(policy, template.routes(), fleet, deployment))
                .toList();
        LoadReport report =
                runLoad(fleet, proxies.stream().map(BaselineProxy::url).toList(), null);
        proxies.forEach(BaselineProxy::close);
        return new SystemResult(system, report, fleet.receivedRequests(), List.of());
    }

    // The watcher is null for a baseline, which has no rotation to watch.
    private LoadReport runLoad(LocalFleet fleet, List<String> targets, RotationWatcher watcher) {
        LoadPlan warmUp = LoadPlan.generate(
                deployment.kinds(), List.of(new LoadPlan.Phase("warm-up", 0, WARM_UP_MILLIS, Map.of())), seed + 1);
        LoadPlan plan = LoadPlan.generate(deployment.kinds(), scenario.phases(deployment), seed);
        AtomicReference<LoadReport> report = new AtomicReference<>();
        try (LoadClient client =
                new LoadClient(targets, deployment.clientDelay().millis())) {
            new LoadRunner(client, "warm", count -> {}).run(warmUp);
            Thread faultThread = new Thread(() -> scenario.injectFault(fleet), "faults");
            if (watcher != null) {
                watcher.start();
            }
            faultThread.start();
            List<RequestResult> results = new LoadRunner(client, "run", count -> {}).run(plan);
            faultThread.join();
            report.set(LoadReport.of(results, fleet.runsByWorkId()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (watcher != null) {
            watcher.stop();
        }
        return report.get();
    }

    /**
     * Result of the scenario on one system.
     *
     * @param system name of the system
     * @param report figures of the load, without the warm-up
     * @param receivedByServers number of requests that backend servers received, warm-up included
     * @param ejections changes of the rotation of one node; empty for a baseline
     */
    record SystemResult(String system, LoadReport report, int receivedByServers, List<EjectionEvent> ejections) {
        /** Returns the result as text for a terminal. */
        String table() {
            StringBuilder text = new StringBuilder("== " + system + System.lineSeparator() + report.table());
            text.append("received by backend servers: ")
                    .append(receivedByServers)
                    .append(System.lineSeparator());
            ejections.forEach(event -> text.append(event.upstream() + (event.out() ? " out" : " back") + " at "
                    + event.atMillis() + " ms" + System.lineSeparator()));
            return text.toString();
        }
    }

    /**
     * An upstream left the rotation or returned to it.
     *
     * @param upstream id of the upstream
     * @param out whether it left
     * @param atMillis milliseconds since the start of the load
     */
    record EjectionEvent(String upstream, boolean out, long atMillis) {}

    /** Polls the rotation of one node and records its changes. */
    private static final class RotationWatcher {
        private static final long POLL_MILLIS = 50;

        private final LocalFleet fleet;
        private final OperatorClient operatorClient;
        private final Map<String, Boolean> inRotation = new TreeMap<>();
        private final List<EjectionEvent> events = new ArrayList<>();
        private final Thread thread = new Thread(this::pollUntilStopped, "ejection-watch");
        private volatile boolean stopped;

        private RotationWatcher(LocalFleet fleet) {
            this.fleet = fleet;
            this.operatorClient = new OperatorClient(fleet);
        }

        private void start() {
            thread.start();
        }

        private void stop() {
            stopped = true;
        }

        private synchronized List<EjectionEvent> events() {
            return List.copyOf(events);
        }

        private void pollUntilStopped() {
            long startNanos = System.nanoTime();
            String nodeId = fleet.nodeIds().get(0);
            while (!stopped) {
                List<String> upstreamsInRotation = operatorClient.upstreamsInRotation(nodeId);
                long atMillis = (System.nanoTime() - startNanos) / 1_000_000;
                fleet.allUpstreamIds().forEach(id -> recordState(id, upstreamsInRotation.contains(id), atMillis));
                OperatorClient.sleep(POLL_MILLIS);
            }
        }

        private synchronized void recordState(String id, boolean isInRotation, long atMillis) {
            Boolean wasInRotation = inRotation.put(id, isInRotation);
            if (wasInRotation != null && wasInRotation != isInRotation) {
                events.add(new EjectionEvent(id, !isInRotation, atMillis));
            }
        }
    }
}
