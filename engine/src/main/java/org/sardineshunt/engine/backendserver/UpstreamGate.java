package org.sardineshunt.engine.backendserver;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.sardineshunt.coordination.Rank;
import org.sardineshunt.coordination.limit.HomeGate;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;

/**
 * The queue in front of one upstream: first the calls that running requests make, then work by the number of its rank.
 *
 * <p>A call is preferred whatever its rank, because the request that made it holds a slot until the call is answered.
 * There are never more of them than slots in the fleet, so they starve nobody.
 */
final class UpstreamGate {
    private static final int RANKS = 8;
    private static final int REPORTED_RANKS = 3;
    private static final String CALLS = "calls";
    private static final double GUARANTEED_SHARE = 0.05;
    private static final int QUEUE_LIMIT_PER_RANK = 64;
    private static final double EXPECTED_SERVICE_MILLIS = 300;

    private UpstreamGate() {}

    static HomeGate<PendingAttempt> create() {
        Stream<Rank> byNumber = IntStream.range(0, RANKS)
                .mapToObj(order -> new Rank(name(order), 1 + order, order == 0 ? 0 : GUARANTEED_SHARE));
        List<Rank> ranks =
                Stream.concat(Stream.of(new Rank(CALLS, 0, 0)), byNumber).toList();
        return HomeGate.<PendingAttempt>builder()
                .ranks(ranks)
                .slots(1)
                .queueLimit(QUEUE_LIMIT_PER_RANK)
                .expectedServiceMillis(EXPECTED_SERVICE_MILLIS)
                .build();
    }

    /** Returns the expected wait of new work: of calls, then by rank. */
    static List<Integer> waitMillis(HomeGate<PendingAttempt> gate) {
        return Stream.concat(
                        Stream.of(CALLS), IntStream.range(0, REPORTED_RANKS).mapToObj(UpstreamGate::name))
                .map(rank -> (int) gate.expectedWaitMillis(rank))
                .toList();
    }

    /** Returns the rank in which an attempt waits. */
    static String rank(Attempt attempt) {
        return attempt.getFromRunningRequest() ? CALLS : name(attempt.getRank());
    }

    private static String name(int order) {
        return String.valueOf(Math.min(order, RANKS - 1));
    }
}
