package org.sardineshunt.load;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntFunction;
import java.util.function.IntSupplier;
import java.util.stream.IntStream;

import org.sardineshunt.coordination.idempotency.Ticket;
import org.sardineshunt.coordination.idempotency.TicketRegistry;
import org.sardineshunt.coordination.intent.Intent;
import org.sardineshunt.coordination.intent.IntentSet;
import org.sardineshunt.coordination.intent.LabelSelector;
import org.sardineshunt.coordination.limit.AccountLimiter;
import org.sardineshunt.coordination.membership.FailureDetector;
import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.coordination.membership.MemberTable;
import org.sardineshunt.coordination.membership.UpstreamInfo;
import org.sardineshunt.coordination.rotation.Candidate;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.coordination.rotation.Rotation;
import org.sardineshunt.kit.TimeSpan;
import org.sardineshunt.node.NodeSettings.RouteSettings;
import org.sardineshunt.node.caller.RouteTable;
import org.sardineshunt.node.peer.MessageCodec;

/** Measures the memory, message size and processor time that control state takes at several sizes. */
final class CapacityBenchmark {
    private static final int UPSTREAMS_PER_NODE = 15;
    // The average of a deployment with 100,000 upstreams.
    private static final int UPSTREAMS_PER_SERVICE = 27;
    private static final int REPETITIONS = 3;
    private static final long SEED = 5;

    private final StringBuilder table = new StringBuilder();

    /** Measures everything and returns a table with one line for each measure and size. */
    String run() {
        table.append(String.format("%-34s %10s %14s %s%n", "MEASURE", "SIZE", "VALUE", "UNIT"));
        // The largest sizes include 6,700 nodes with 100,000 upstreams, and 55,000 routes.
        for (int nodes : new int[] {500, 1_500, 3_500, 6_700}) {
            measureMembers(nodes);
        }
        for (int intents : new int[] {100, 1_000, 5_000, 20_000}) {
            measureHeap("intents", intents, CapacityBenchmark::intents);
        }
        for (int accounts : new int[] {1_000, 10_000, 50_000, 180_000}) {
            measureHeap("accounts", accounts, CapacityBenchmark::accounts);
        }
        for (int keys : new int[] {1_000, 5_000, 20_000, 50_000}) {
            measureHeap("kept keyed outcomes", keys, CapacityBenchmark::keyedOutcomes);
        }
        for (int routes : new int[] {100, 1_000, 10_000, 55_000}) {
            measureHeap("routes", routes, CapacityBenchmark::routes);
            RouteTable sample = routes(routes);
            measureProcessorTime(
                    "route lookup",
                    routes,
                    20_000,
                    () -> sample.find("GET", "/s" + routes / 2 + "/x").isDefined() ? 1 : 0);
        }
        for (int upstreams : new int[] {9, 27, 81, 243}) {
            List<Candidate> candidates = candidates(upstreams);
            Rotation rotation = Rotation.builder().build();
            measureProcessorTime("rotation of a service", upstreams, 5_000, () -> rotation.decide(candidates)
                    .size());
        }
        return table.toString();
    }

    private void measureMembers(int nodes) {
        measureHeap("members with 15 upstreams", nodes, CapacityBenchmark::members);
        MemberTable members = members(nodes);
        Member sample = members.all().iterator().next();
        addRow("member record on the wire", nodes, MessageCodec.encode(sample).getSerializedSize(), "bytes");
        List<Member> sameDataCentre = members.all().stream()
                .filter(member -> member.location().dataCentre().equals("dc-0"))
                .toList();
        FailureDetector detector = new FailureDetector(1_000, 3, 4, new Random(SEED));
        measureProcessorTime("probe period", nodes, 500, () -> detector.tick(0, sameDataCentre)
                .size());
        int[] version = {10};
        measureProcessorTime(
                "merge of a changed record",
                nodes,
                2_000,
                () -> members.merge(0, withVersion(sample, version[0]++)) ? 1 : 0);
        measureProcessorTime("digests for anti-entropy", nodes, 2_000, () -> members.digests().length);
        measureProcessorTime("homes of a service", nodes, 20_000, () -> members.homes("service-7")
                .size());
    }

    private <T> void measureHeap(String measure, int size, IntFunction<T> factory) {
        // Loads the classes, so that the measurement doesn't count them.
        factory.apply(Math.min(size, 100));
        long usedBefore = liveHeap();
        T measured = factory.apply(size);
        long usedBytes = liveHeap() - usedBefore;
        addRow(measure, size, usedBytes / 1024.0, "KiB live heap");
        // Uses the object, so that it is reachable until the heap has been measured.
        if (measured.hashCode() == Integer.MIN_VALUE) {
            table.append("");
        }
    }

    private void measureProcessorTime(String measure, int size, int iterations, IntSupplier action) {
        long checksum = 0;
        for (int round = 0; round < REPETITIONS; round++) {
            checksum += IntStream.range(0, iterations)
                    .map(iteration -> action.getAsInt())
                    .sum();
        }
        long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        checksum += IntStream.range(0, iterations)
                .map(iteration -> action.getAsInt())
                .sum();
        long nanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNanos;
        // Uses the results, so that the compiler can't remove the calls.
        addRow(measure, size, nanos / 1_000.0 / iterations, checksum == Long.MIN_VALUE ? "" : "us processor time");
    }

    private void addRow(String measure, int size, double value, String unit) {
        table.append(String.format("%-34s %10d %14.2f %s%n", measure, size, value, unit));
    }

    private static long liveHeap() {
        for (int round = 0; round < REPETITIONS; round++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static MemberTable members(int nodes) {
        MemberTable members = new MemberTable();
        int services = Math.max(1, nodes * UPSTREAMS_PER_NODE / UPSTREAMS_PER_SERVICE);
        IntStream.range(0, nodes)
                .forEach(node -> members.merge(0, MessageCodec.decode(MessageCodec.encode(member(node, services)))));
        return members;
    }

    private static Member member(int node, int services) {
        List<UpstreamInfo> upstreams = new ArrayList<>();
        for (int number = 0; number < UPSTREAMS_PER_NODE; number++) {
            String service = "service-" + (node * UPSTREAMS_PER_NODE + number) % services;
            upstreams.add(new UpstreamInfo(
                    service + "-" + node + "-" + number, service, 4, HealthCondition.HEALTHY, 0, List.of(), false));
        }
        return new Member(
                "node-" + node,
                1,
                1,
                Member.State.ALIVE,
                new Member.Endpoint("10.0." + node / 256 + "." + node % 256, 7301, 7201),
                new Member.Location("dc-" + node % 14, "region-" + node % 5),
                "",
                upstreams);
    }

    private static Member withVersion(Member member, long version) {
        return new Member(
                member.nodeId(),
                member.incarnation(),
                version,
                member.state(),
                member.endpoint(),
                member.location(),
                member.successor(),
                member.upstreams());
    }

    private static IntentSet intents(int count) {
        return IntentSet.of(
                count,
                IntStream.range(0, count)
                        .mapToObj(number -> new Intent(
                                "intent-" + number,
                                Intent.Action.DRAIN,
                                "",
                                LabelSelector.parse("service=service-" + number + ",rack=r" + number % 50)
                                        .get(),
                                "operator-" + number % 20,
                                "replacement of a disk, ticket " + number,
                                1,
                                0,
                                number))
                        .toList());
    }

    private static AccountLimiter accounts(int count) {
        AccountLimiter limiter = new AccountLimiter(10, 10, count);
        IntStream.range(0, count).forEach(number -> limiter.tryAcquire(number, "account-" + number));
        return limiter;
    }

    private static TicketRegistry<byte[]> keyedOutcomes(int count) {
        TicketRegistry<byte[]> registry = new TicketRegistry<>("node", 1, count, 600_000);
        IntStream.range(0, count).forEach(number -> {
            Ticket ticket = registry.issue();
            registry.begin(0, ticket, "0123456789abcdef01234567");
            registry.finish(0, ticket, org.sardineshunt.coordination.Verdict.RAN, new byte[300]);
        });
        return registry;
    }

    private static List<Candidate> candidates(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new Candidate(
                        "upstream-" + number,
                        4,
                        number % 9 == 0 ? HealthCondition.UNHEALTHY : HealthCondition.HEALTHY,
                        number % 5,
                        Candidate.Override.NONE,
                        false,
                        true))
                .toList();
    }

    private static RouteTable routes(int count) {
        return new RouteTable(IntStream.range(0, count)
                .mapToObj(number -> new RouteSettings(
                        "GET", "/s" + number, "service-" + number % 3_700, "rank", true, false, new TimeSpan(1_000)))
                .toList());
    }
}
