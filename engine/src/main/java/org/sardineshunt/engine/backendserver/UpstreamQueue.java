package org.sardineshunt.engine.backendserver;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.sardineshunt.coordination.Rank;
import org.sardineshunt.coordination.limit.AdmissionQueue;
import org.sardineshunt.coordination.limit.WorkItem;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;

/**
 * Configures the admission queue in front of the upstream.
 *
 * <p>The queue has two ranks for each rank of routes: one for the calls that running requests make, and after it one
 * for new work. A request that makes a call holds its slot until the call is answered, so the call has the rank of that
 * request and goes first within it. The fleet never has more such calls than slots, so they don't starve new work of
 * their rank.
 */
final class UpstreamQueue {
    // Ranks beyond the last one count as the last one.
    private static final int RANKS = 8;

    // The waits of the last reported rank apply to all further ones.
    private static final int REPORTED_RANKS = 3;

    // Keeps the ranks below the most urgent one served while more urgent work fills the queue.
    private static final double GUARANTEED_SHARE = 0.05;
    private static final int QUEUE_LIMIT_PER_RANK = 64;
    private static final double INITIAL_SERVICE_MILLIS = 300;

    private UpstreamQueue() {}

    static AdmissionQueue<PendingAttempt> create() {
        List<Rank> ranks = IntStream.range(0, RANKS)
                .boxed()
                .flatMap(order -> Stream.of(rank(order, true), rank(order, false)))
                .toList();
        return AdmissionQueue.<PendingAttempt>builder()
                .ranks(ranks)
                .slots(1)
                .queueLimit(QUEUE_LIMIT_PER_RANK)
                .initialServiceMillis(INITIAL_SERVICE_MILLIS)
                .build();
    }

    /** Returns the expected waits in milliseconds, by rank: for each that of calls, then that of new work. */
    static List<Integer> expectedWaitMillis(AdmissionQueue<PendingAttempt> queue) {
        return IntStream.range(0, REPORTED_RANKS)
                .boxed()
                .flatMap(order -> Stream.of(rankName(order, true), rankName(order, false)))
                .map(name -> (int) queue.expectedWaitMillis(name))
                .toList();
    }

    /**
     * Returns an attempt as an item of the queue. It is due at its target time, or at its deadline if that is earlier
     * or the route has no target.
     *
     * @param expectedServiceMillis how long it is expected to hold its slot; 0 while unknown
     */
    static WorkItem<PendingAttempt> toWorkItem(PendingAttempt pending, double expectedServiceMillis) {
        Attempt attempt = pending.attempt();
        long deadlineMillis = pending.arrivedMillis() + attempt.getLeftMillis();
        long targetMillis = attempt.getTargetMillis();
        long dueMillis =
                targetMillis == 0 ? deadlineMillis : Math.min(deadlineMillis, pending.arrivedMillis() + targetMillis);
        return new WorkItem<>(
                pending.queueId(),
                rankName(attempt.getRank(), attempt.getFromRunningRequest()),
                attempt.getAccount(),
                deadlineMillis,
                dueMillis,
                expectedServiceMillis,
                pending);
    }

    private static Rank rank(int order, boolean forCalls) {
        int position = 2 * order + (forCalls ? 0 : 1);
        return new Rank(rankName(order, forCalls), position, order == 0 ? 0 : GUARANTEED_SHARE);
    }

    private static String rankName(int order, boolean forCalls) {
        return Math.min(order, RANKS - 1) + (forCalls ? "-calls" : "");
    }
}
