package org.sardineshunt.load;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.sardineshunt.kit.TimeSpan;
import org.sardineshunt.load.Deployment.ServiceSize;
import org.sardineshunt.load.Deployment.WorkKind;
import org.sardineshunt.load.LoadPlan.Phase;
import org.sardineshunt.node.NodeSettings;

/** Measures what running nodes spend on control, and what a node adds to a request. */
final class FleetCostProbe {
    private static final long SETTLE_MILLIS = 6_000;
    private static final long MEASURE_MILLIS = 10_000;
    private static final int UPSTREAMS_PER_NODE = 4;
    private static final int RATE = 250;
    private static final int HIGHEST_MICROS = 10_000_000;
    private static final long SEED = 9;

    private final NodeSettings template;

    FleetCostProbe(NodeSettings template) {
        this.template = template;
    }

    /** Returns processor time and bytes for control of idle fleets of several sizes. */
    String control() {
        StringBuilder table = new StringBuilder(
                String.format("%-8s %22s %24s%n", "NODES", "CONTROL % OF A CORE", "CONTROL BYTES/S A NODE"));
        for (int nodes : new int[] {3, 6, 12, 24}) {
            try (LocalFleet fleet = LocalFleet.start(deployment(nodes, 20), template, own -> own)) {
                OperatorClient.sleep(SETTLE_MILLIS);
                long cpu = controlNanos();
                long bytes = controlBytes(fleet);
                OperatorClient.sleep(MEASURE_MILLIS);
                double share = (controlNanos() - cpu) / (MEASURE_MILLIS * 1e6) / nodes;
                double perSecond = (controlBytes(fleet) - bytes) * 1_000.0 / MEASURE_MILLIS / nodes;
                table.append(String.format("%-8d %22.3f %24.0f%n", nodes, share * 100, perSecond));
            }
        }
        return table.toString();
    }

    /** Returns the latency of direct calls and of calls through a node, taken side by side. */
    String addedLatency() {
        Deployment deployment = deployment(3, 1);
        try (LocalFleet fleet = LocalFleet.start(deployment, template, own -> own)) {
            List<String> direct = fleet.allServers().stream()
                    .map(id -> "http://127.0.0.1:" + fleet.server(id).port())
                    .toList();
            Thread through = new Thread(() -> measure(fleet.callerUrls(), 2, SETTLE_MILLIS));
            through.start();
            measure(direct, 1, SETTLE_MILLIS);
            join(through);
            Histogram[] proxied = new Histogram[1];
            Thread second = new Thread(() -> proxied[0] = measure(fleet.callerUrls(), 4, MEASURE_MILLIS));
            second.start();
            Histogram plain = measure(direct, 3, MEASURE_MILLIS);
            join(second);
            return line("direct", plain)
                    + line("through a node", proxied[0])
                    + String.format(
                            "added: median %.2f ms, p99 %.2f ms%n",
                            (proxied[0].getValueAtPercentile(50) - plain.getValueAtPercentile(50)) / 1_000.0,
                            (proxied[0].getValueAtPercentile(99) - plain.getValueAtPercentile(99)) / 1_000.0);
        }
    }

    private static Histogram measure(List<String> targets, long seed, long millis) {
        WorkKind kind = new WorkKind("lookup", "status", "GET", "/seats", false, new TimeSpan(1_000), RATE, 1);
        LoadPlan plan = LoadPlan.draw(List.of(kind), List.of(new Phase("run", 0, millis, Map.of())), SEED + seed);
        Histogram histogram = new Histogram(HIGHEST_MICROS, 3);
        try (LoadClient client = new LoadClient(targets, 0)) {
            new LoadRunner(client, "cost" + seed, count -> {})
                    .run(plan).stream()
                            .filter(RequestResult::served)
                            .forEach(result -> histogram.recordValue(
                                    Math.min(HIGHEST_MICROS, Math.max(1, Math.round(result.latencyMillis() * 1_000)))));
        }
        return histogram;
    }

    private static String line(String name, Histogram histogram) {
        return String.format(
                "%-16s requests %6d, median %.2f ms, p99 %.2f ms, p99.9 %.2f ms%n",
                name,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / 1_000.0,
                histogram.getValueAtPercentile(99) / 1_000.0,
                histogram.getValueAtPercentile(99.9) / 1_000.0);
    }

    private static Deployment deployment(int nodes, int serviceMillis) {
        return new Deployment(
                "region",
                List.of("dc-1", "dc-2", "dc-3"),
                nodes / 3,
                new TimeSpan(0),
                "unused",
                List.of(new ServiceSize("seat-booking", nodes * UPSTREAMS_PER_NODE, 4, new TimeSpan(serviceMillis))),
                List.of(),
                "seat-booking",
                List.of());
    }

    private static long controlNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        return Arrays.stream(threads.getThreadInfo(threads.getAllThreadIds()))
                .filter(thread -> thread != null && thread.getThreadName().startsWith("control-"))
                .mapToLong(thread -> Math.max(0, threads.getThreadCpuTime(thread.getThreadId())))
                .sum();
    }

    private static long controlBytes(LocalFleet fleet) {
        return fleet.nodeIds().stream()
                .mapToLong(nodeId -> fleet.node(nodeId).traffic().controlBytes())
                .sum();
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
