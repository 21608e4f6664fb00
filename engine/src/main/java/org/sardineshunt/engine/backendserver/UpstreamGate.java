package org.sardineshunt.engine.backendserver;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.sardineshunt.coordination.Rank;
import org.sardineshunt.coordination.limit.AdmissionQueue;
import org.sardineshunt.coordination.limit.WorkItem;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;

/**
 * The queue in front of one upstream, by rank; within a rank the calls that running requests make go before new work.
 *
 * <p>A request that makes a call holds a slot until the call is answered, so a call has the rank of that request. There
 * are never more calls than slots in the fleet, so they starve nobody of their rank.
 */
final class UpstreamGate {
    private static final int RANKS = 8;
    private static final int REPORTED_RANKS = 3;
    private static final double GUARANTEED_SHARE = 0.05;
    private static final int QUEUE_LIMIT_PER_RANK = 64;
    private static final double EXPECTED_SERVICE_MILLIS = 300;

    private UpstreamGate() {}

    static AdmissionQueue<PendingAttempt> create() {
        List<Rank> ranks = IntStream.range(0, RANKS)
                .boxed()
                .flatMap(order -> Stream.of(rank(order, true), rank(order, false)))
                .toList();
        return AdmissionQueue.<PendingAttempt>builder()
                .ranks(ranks)
                .slots(1)
                .queueLimit(QUEUE_LIMIT_PER_RANK)
                .initialServiceMillis(EXPECTED_SERVICE_MILLIS)
                .build();
    }

    /** Returns the expected wait by rank, for each rank that of calls and that of new work. */
    static List<Integer> waitMillis(AdmissionQueue<PendingAttempt> gate) {
        return IntStream.range(0, REPORTED_RANKS)
                .boxed()
                .flatMap(order -> Stream.of(name(order, true), name(order, false)))
                .map(rank -> (int) gate.expectedWaitMillis(rank))
                .toList();
    }

    /**
     * Returns an attempt as work for the gate.
     *
     * @param serviceMillis how long it will hold its slot; 0 while unknown
     */
    static WorkItem<PendingAttempt> work(PendingAttempt pending, double serviceMillis) {
        Attempt attempt = pending.attempt();
        long deadline = pending.arrivedMillis() + attempt.getLeftMillis();
        long target = attempt.getTargetMillis();
        long due = target == 0 ? deadline : Math.min(deadline, pending.arrivedMillis() + target);
        return new WorkItem<>(
                attempt.getAttemptId(),
                name(attempt.getRank(), attempt.getFromRunningRequest()),
                deadline,
                due,
                serviceMillis,
                pending);
    }

    private static Rank rank(int order, boolean calls) {
        int position = 2 * order + (calls ? 0 : 1);
        return new Rank(name(order, calls), position, order == 0 ? 0 : GUARANTEED_SHARE);
    }

    private static String name(int order, boolean calls) {
        return Math.min(order, RANKS - 1) + (calls ? "-calls" : "");
    }
}
