package org.sardineshunt.engine.backendserver;

import java.util.List;
import java.util.stream.IntStream;

import org.sardineshunt.coordination.Rank;
import org.sardineshunt.coordination.limit.HomeGate;

/** The queue in front of one upstream, with ranks known by their number. */
final class UpstreamGate {
    private static final int RANKS = 8;
    private static final int REPORTED_RANKS = 3;
    private static final double GUARANTEED_SHARE = 0.05;
    private static final int QUEUE_LIMIT_PER_RANK = 64;
    private static final double EXPECTED_SERVICE_MILLIS = 300;

    private UpstreamGate() {}

    static HomeGate<PendingAttempt> create() {
        List<Rank> ranks = IntStream.range(0, RANKS)
                .mapToObj(order -> new Rank(name(order), order, order == 0 ? 0 : GUARANTEED_SHARE))
                .toList();
        return HomeGate.<PendingAttempt>builder()
                .ranks(ranks)
                .slots(1)
                .queueLimit(QUEUE_LIMIT_PER_RANK)
                .expectedServiceMillis(EXPECTED_SERVICE_MILLIS)
                .build();
    }

    /** Returns the expected wait of new work by rank. */
    static List<Integer> waitMillis(HomeGate<PendingAttempt> gate) {
        return IntStream.range(0, REPORTED_RANKS)
                .mapToObj(order -> (int) gate.expectedWaitMillis(name(order)))
                .toList();
    }

    static String name(int order) {
        return String.valueOf(Math.min(order, RANKS - 1));
    }
}
