package org.sardineshunt.engine.backendserver;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.idempotency.AttemptId;
import org.sardineshunt.coordination.limit.AdmissionQueue;
import org.sardineshunt.coordination.limit.WorkItem;
import org.sardineshunt.engine.AttemptStreams;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class UpstreamQueueTest {
    private static final long TARGET_MILLIS = 400;
    private static final long CALL_LEFT_MILLIS = 1_100;
    private static final long NEW_WORK_LEFT_MILLIS = 60_000;

    private final AdmissionQueue<PendingAttempt> queue = UpstreamQueue.create();

    /** Calls have the rank of their request: a call of a reservation must not delay a payment, which ranks higher. */
    @Test
    void startsByRankAndCallsOfRunningRequestsFirstWithinARank() {
        queue.offer(0, item("running", 0, false));
        queue.offer(0, item("new-1", 1, false));
        queue.offer(0, item("call-1", 1, true));
        queue.offer(0, item("new-0", 0, false));
        queue.offer(0, item("call-0", 0, true));

        List<String> started = IntStream.range(0, 4)
                .mapToObj(index -> queue.finish(0, 100).get(0).id())
                .toList();

        assertThat(started, is(List.of("call-0", "new-0", "call-1", "new-1")));
    }

    /**
     * Guards against calls that are due only at their deadline: in an overload they waited up to a second and held the
     * slots of their callers meanwhile.
     */
    @Test
    void aCallOfARunningRequestIsDueAtItsTargetLikeNewWork() {
        assertThat(item("call", 1, true).dueMillis(), is(TARGET_MILLIS));
        assertThat(item("new", 1, false).dueMillis(), is(TARGET_MILLIS));
    }

    private static WorkItem<PendingAttempt> item(String id, int rank, boolean fromRunningRequest) {
        Attempt attempt = Attempt.newBuilder()
                .setAttemptId(id)
                .setRank(rank)
                .setFromRunningRequest(fromRunningRequest)
                .setTargetMillis((int) TARGET_MILLIS)
                .setLeftMillis((int) (fromRunningRequest ? CALL_LEFT_MILLIS : NEW_WORK_LEFT_MILLIS))
                .build();
        return UpstreamQueue.toWorkItem(
                new PendingAttempt(attempt, new AttemptId("entry", 1, 1), 0, AttemptStreams.NONE, answer -> {}), 100);
    }
}
