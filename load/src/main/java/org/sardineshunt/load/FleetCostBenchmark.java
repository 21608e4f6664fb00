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

/** Measures the processor time and bytes that nodes spend on control, and the latency that a node adds to requests. */
final class FleetCostBenchmark {
    private static final long WARM_UP_MILLIS = 6_000;
    private static final long MEASUREMENT_MILLIS = 10_000;
    private static final int UPSTREAMS_PER_NODE = 4;
    private static final int REQUESTS_PER_SECOND = 250;
    private static final int MAXIMUM_LATENCY_MICROS = 10_000_000;
    private static final long SEED = 9;

    private final NodeSettings template;

    FleetCostBenchmark(NodeSettings template) {
        this.template = template;
    }

    /** Returns a table of the processor time and bytes that control takes in idle fleets of several sizes. */
    String controlCost() {
        StringBuilder table = new StringBuilder(
                String.format("%-8s %22s %24s%n", "NODES", "CONTROL % OF A CORE", "CONTROL BYTES/S A NODE"));
        for (int nodes : new int[] {3, 6, 12, 24}) {
            try (LocalFleet fleet = LocalFleet.start(deployment(nodes, 20), template, nodeSettings -> nodeSettings)) {
                OperatorClient.sleep(WARM_UP_MILLIS);
                long cpuNanosBefore = controlThreadCpuNanos();
                long bytesBefore = controlBytes(fleet);
                OperatorClient.sleep(MEASUREMENT_MILLIS);
                double coreShare = (controlThreadCpuNanos() - cpuNanosBefore) / (MEASUREMENT_MILLIS * 1e6) / nodes;
                double bytesPerSecond = (controlBytes(fleet) - bytesBefore) * 1_000.0 / MEASUREMENT_MILLIS / nodes;
                table.append(String.format("%-8d %22.3f %24.0f%n", nodes, coreShare * 100, bytesPerSecond));
            }
        }
        return table.toString();
    }

    /** Returns the latency of direct requests and of requests through a node, measured at the same time. */
    String addedLatency() {
        Deployment deployment = deployment(3, 1);
        try (LocalFleet fleet = LocalFleet.start(deployment, template, nodeSettings -> nodeSettings)) {
            List<String> backendServerUrls = fleet.allUpstreamIds().stream()
                    .map(id -> "http://127.0.0.1:" + fleet.server(id).port())
                    .toList();
            Thread warmUpThroughNode = new Thread(() -> measureLatency(fleet.callerUrls(), 2, WARM_UP_MILLIS));
            warmUpThroughNode.start();
            measureLatency(backendServerUrls, 1, WARM_UP_MILLIS);
            join(warmUpThroughNode);
            Histogram[] throughNode = new Histogram[1];
            Thread measurementThroughNode =
                    new Thread(() -> throughNode[0] = measureLatency(fleet.callerUrls(), 4, MEASUREMENT_MILLIS));
            measurementThroughNode.start();
            Histogram direct = measureLatency(backendServerUrls, 3, MEASUREMENT_MILLIS);
            join(measurementThroughNode);
            return row("direct", direct)
                    + row("through a node", throughNode[0])
                    + String.format(
                            "added: median %.2f ms, p99 %.2f ms%n",
                            (throughNode[0].getValueAtPercentile(50) - direct.getValueAtPercentile(50)) / 1_000.0,
                            (throughNode[0].getValueAtPercentile(99) - direct.getValueAtPercentile(99)) / 1_000.0);
        }
    }

    private static Histogram measureLatency(List<String> targets, long seedOffset, long millis) {
        WorkKind kind =
                new WorkKind("lookup", "status", "GET", "/seats", false, new TimeSpan(1_000), REQUESTS_PER_SECOND, 1);
        LoadPlan plan =
                LoadPlan.generate(List.of(kind), List.of(new Phase("run", 0, millis, Map.of())), SEED + seedOffset);
        Histogram histogram = new Histogram(MAXIMUM_LATENCY_MICROS, 3);
        try (LoadClient client = new LoadClient(targets, 0)) {
            new LoadRunner(client, "cost" + seedOffset, count -> {})
                    .run(plan).stream()
                            .filter(RequestResult::served)
                            .forEach(result -> histogram.recordValue(Math.min(
                                    MAXIMUM_LATENCY_MICROS, Math.max(1, Math.round(result.latencyMillis() * 1_000)))));
        }
        return histogram;
    }

    private static String row(String name, Histogram histogram) {
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

    // Each node runs its control on a thread named "control-" and its id.
    private static long controlThreadCpuNanos() {
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
