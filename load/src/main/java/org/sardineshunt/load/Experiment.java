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

/** Runs one scenario with the fleet and with two plain proxies, on the same arrivals. */
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

    /** Runs the chosen systems one after the other. */
    List<SystemResult> run(List<String> systems) {
        return systems.stream().map(this::runSystem).toList();
    }

    private SystemResult runSystem(String system) {
        boolean withoutSlack = system.equals("without-slack-refusal");
        NodeSettings settings = withoutSlack ? withoutSlackRefusal(template) : template;
        try (LocalFleet fleet = LocalFleet.start(deployment, settings, own -> own)) {
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
        EjectionWatch watch = new EjectionWatch(fleet);
        LoadReport report = load(fleet, fleet.callerUrls(), watch);
        return new SystemResult(system, report, fleet.received(), watch.events());
    }

    private SystemResult runBaseline(LocalFleet fleet, String system, Policy policy) {
        List<BaselineProxy> proxies = IntStream.range(0, BASELINE_PROXIES)
                .mapToObj(number -> new BaselineProxy(policy, template.routes(), fleet, deployment))
                .toList();
        LoadReport report = load(fleet, proxies.stream().map(BaselineProxy::url).toList(), null);
        proxies.forEach(BaselineProxy::close);
        return new SystemResult(system, report, fleet.received(), List.of());
    }

    private LoadReport load(LocalFleet fleet, List<String> targets, EjectionWatch watch) {
        LoadPlan warmUp = LoadPlan.draw(
                deployment.kinds(), List.of(new LoadPlan.Phase("warm-up", 0, WARM_UP_MILLIS, Map.of())), seed + 1);
        LoadPlan plan = LoadPlan.draw(deployment.kinds(), scenario.phases(deployment), seed);
        AtomicReference<LoadReport> report = new AtomicReference<>();
        try (LoadClient client =
                new LoadClient(targets, deployment.clientDelay().millis())) {
            new LoadRunner(client, "warm", count -> {}).run(warmUp);
            Thread faults = new Thread(() -> scenario.run(fleet), "faults");
            if (watch != null) {
                watch.start();
            }
            faults.start();
            List<RequestResult> results = new LoadRunner(client, "run", count -> {}).run(plan);
            faults.join();
            report.set(LoadReport.of(results, fleet.runs()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (watch != null) {
            watch.stop();
        }
        return report.get();
    }

    /**
     * Result of one system.
     *
     * @param system its name
     * @param report figures of the load
     * @param receivedByServers requests that backend servers received, warm-up included
     * @param ejections when upstreams went out of rotation and came back, as one node saw it
     */
    record SystemResult(String system, LoadReport report, int receivedByServers, List<EjectionEvent> ejections) {
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
     * An upstream left the rotation or came back.
     *
     * @param upstream the upstream
     * @param out whether it left
     * @param atMillis time since the start of the load
     */
    record EjectionEvent(String upstream, boolean out, long atMillis) {}

    /** Watches the rotation that one node sees. */
    private static final class EjectionWatch {
        private static final long POLL_MILLIS = 50;

        private final LocalFleet fleet;
        private final OperatorClient probe;
        private final Map<String, Boolean> in = new TreeMap<>();
        private final List<EjectionEvent> events = new ArrayList<>();
        private final Thread thread = new Thread(this::watch, "ejection-watch");
        private volatile boolean stopped;

        private EjectionWatch(LocalFleet fleet) {
            this.fleet = fleet;
            this.probe = new OperatorClient(fleet);
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

        private void watch() {
            long start = System.nanoTime();
            String nodeId = fleet.nodeIds().get(0);
            while (!stopped) {
                List<String> now = probe.upstreamsInRotation(nodeId);
                long atMillis = (System.nanoTime() - start) / 1_000_000;
                fleet.allServers().forEach(id -> note(id, now.contains(id), atMillis));
                OperatorClient.sleep(POLL_MILLIS);
            }
        }

        private synchronized void note(String id, boolean isIn, long atMillis) {
            Boolean before = in.put(id, isIn);
            if (before != null && before != isIn) {
                events.add(new EjectionEvent(id, !isIn, atMillis));
            }
        }
    }
}
