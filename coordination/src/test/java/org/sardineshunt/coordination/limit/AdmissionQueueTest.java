package org.sardineshunt.coordination.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Rank;
import org.sardineshunt.coordination.Reason;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class AdmissionQueueTest {
    private static final List<Rank> RANKS =
            List.of(new Rank("payment", 0, 0.1), new Rank("booking", 1, 0.1), new Rank("browse", 2, 0.05));
    private static final double SERVICE_MILLIS = 10;

    private final AdmissionQueue<String> queue = AdmissionQueue.<String>builder()
            .ranks(RANKS)
            .slots(1)
            .initialServiceMillis(SERVICE_MILLIS)
            .queueLimit(10_000)
            .build();
    private int lastId;

    @Test
    void startsTheMostUrgentRankFirst() {
        queue.offer(0, work("browse", 10_000));
        queue.offer(0, work("browse", 10_000));
        queue.offer(0, work("payment", 10_000));

        assertThat(ranksOf(queue.finish(10, SERVICE_MILLIS)), contains("payment"));
        assertThat(ranksOf(queue.finish(20, SERVICE_MILLIS)), contains("browse"));
    }

    @Test
    void floodOfTheMostUrgentRankLeavesOthersTheirGuaranteedShare() {
        Map<String, Integer> started = countStartsDuringFlood("payment");

        assertThat(started.get("booking"), greaterThanOrEqualTo(95));
        assertThat(started.get("browse"), greaterThanOrEqualTo(45));
    }

    @Test
    void floodOfTheLeastUrgentRankDoesNotDelayUrgentWork() {
        for (int flood = 0; flood < 200; flood++) {
            queue.offer(0, work("browse", 100_000));
        }
        queue.offer(0, work("payment", 100_000));

        assertThat(ranksOf(queue.finish(10, SERVICE_MILLIS)), contains("payment"));
    }

    @Test
    void refusesWorkThatWouldMissItsDeadlineInsteadOfQueueingIt() {
        queue.offer(0, work("browse", 1_000));
        queue.offer(0, new WorkItem<>("due first", "browse", 1_000, 20, SERVICE_MILLIS, "payload"));

        assertThat(queue.offer(0, work("browse", 25)), is(Either.left(Reason.DEADLINE_SLACK)));
    }

    /** A short call made by a running request must not be refused because the requests ahead of it take long. */
    @Test
    void acceptsShortWorkBehindLongWork() {
        AdmissionQueue<String> busyQueue = AdmissionQueue.<String>builder()
                .ranks(RANKS)
                .slots(4)
                .initialServiceMillis(1_600)
                .build();
        for (int running = 0; running < 4; running++) {
            busyQueue.offer(0, new WorkItem<>("long" + running, "browse", 20_000, 8_000, 1_600, "payload"));
        }
        WorkItem<String> call = new WorkItem<>("call", "booking", 1_200, 400, 93, "payload");
        assertThat(busyQueue.offer(0, call), is(Either.right(false)));
    }

    /** A call that is due soon overtakes its rank's queue, so it must not be refused for the length of that queue. */
    @Test
    void acceptsWorkThatOvertakesALongQueue() {
        queue.offer(0, new WorkItem<>("running", "booking", 60_000, 60_000, 500, "payload"));
        for (int waiting = 0; waiting < 20; waiting++) {
            queue.offer(0, new WorkItem<>("waiting" + waiting, "booking", 60_000, 1_500, 500, "payload"));
        }
        WorkItem<String> call = new WorkItem<>("call", "booking", 1_200, 400, 93, "payload");
        assertThat(queue.offer(0, call), is(Either.right(false)));
    }

    /** Requests with little more time left than they take were once all refused wherever a queue had formed. */
    @Test
    void startsWorkWithLittleTimeFirstInsteadOfRefusingIt() {
        AdmissionQueue<String> busyQueue = AdmissionQueue.<String>builder()
                .ranks(RANKS)
                .slots(4)
                .initialServiceMillis(500)
                .build();
        for (int offered = 0; offered < 8; offered++) {
            busyQueue.offer(0, new WorkItem<>("usual" + offered, "browse", 4_000, 1_500, 500, "payload"));
        }

        assertThat(
                busyQueue.offer(0, new WorkItem<>("short", "browse", 813, 813, 500, "payload")),
                is(Either.right(false)));
        assertThat(busyQueue.finish(100, 500).get(0).id(), is("short"));
    }

    /** In a flood, work that can no longer be on time is refused early, not when its deadline is near. */
    @Test
    void removesLateWorkEarlyIfItWillMissItsDeadline() {
        queue.offer(0, new WorkItem<>("running", "booking", 60_000, 60_000, 500, "payload"));
        queue.offer(0, new WorkItem<>("late", "booking", 5_000, 1_500, 500, "payload"));
        assertThat(queue.removeIfExpectedToMissDeadline(1_001, "late").isEmpty(), is(true));
        for (int onTime = 0; onTime < 5; onTime++) {
            queue.offer(1_001, new WorkItem<>("on time" + onTime, "booking", 60_000, 9_000, 500, "payload"));
        }
        assertThat(queue.removeIfExpectedToMissDeadline(1_001, "late").isPresent(), is(true));
    }

    @Test
    void startsTheEarliestDueWorkOfARankFirst() {
        queue.offer(0, new WorkItem<>("running", "booking", 9_000, 9_000, 10, "payload"));
        queue.offer(0, new WorkItem<>("later", "booking", 9_000, 1_500, 10, "payload"));
        queue.offer(0, new WorkItem<>("sooner", "booking", 9_000, 400, 10, "payload"));
        assertThat(queue.finish(10, 10).get(0).id(), is("sooner"));
    }

    @Test
    void startsOnTimeWorkBeforeLateWork() {
        queue.offer(0, new WorkItem<>("running", "booking", 9_000, 9_000, 10, "payload"));
        queue.offer(0, new WorkItem<>("late", "booking", 9_000, 100, 10, "payload"));
        queue.offer(0, new WorkItem<>("on time", "booking", 9_000, 1_500, 10, "payload"));
        assertThat(queue.finish(500, 10).get(0).id(), is("on time"));
    }

    @Test
    void neverStartsExpiredWork() {
        queue.offer(0, work("browse", 1_000));
        queue.offer(0, work("browse", 100));

        assertThat(queue.finish(200, SERVICE_MILLIS).isEmpty(), is(true));
        assertThat(queue.removeExpired(200).size(), is(1));
    }

    @Test
    void neverStartsWorkWithTooLittleTimeForItsService() {
        queue.offer(0, work("browse", 1_000));
        queue.offer(0, work("browse", 100));

        assertThat(queue.finish(95, SERVICE_MILLIS).isEmpty(), is(true));
        assertThat(queue.removeExpired(95).size(), is(1));
    }

    @Test
    void startsNothingAboveALoweredLimit() {
        queue.offer(0, work("browse", 1_000));
        queue.offer(0, work("browse", 1_000));

        assertThat(queue.setConcurrencyLimit(0, 0).isEmpty(), is(true));
        assertThat(queue.finish(10, SERVICE_MILLIS).isEmpty(), is(true));
    }

    @Test
    void urgentOverrideServesItsRankFirst() {
        queue.setUrgentRank("browse");
        queue.offer(0, work("payment", 10_000));
        queue.offer(0, work("payment", 10_000));
        queue.offer(0, work("browse", 10_000));

        assertThat(ranksOf(queue.finish(10, SERVICE_MILLIS)), contains("browse"));
    }

    @Property(seed = "20261204", tries = 300)
    void neverExceedsTheLimitOrLosesWork(@ForAll @Size(max = 120) List<@IntRange(min = 0, max = 5) Integer> steps) {
        AdmissionQueue<String> tested = AdmissionQueue.<String>builder()
                .ranks(RANKS)
                .slots(3)
                .queueLimit(8)
                .build();
        int accepted = 0;
        int started = 0;
        int finished = 0;
        long now = 0;
        for (int step : steps) {
            now += 7;
            if (step < 3) {
                Either<Reason, Boolean> offered =
                        tested.offer(now, work(RANKS.get(step).name(), now + 100));
                accepted += offered.isRight() ? 1 : 0;
                started += offered.getOrElse(false) ? 1 : 0;
            } else if (started > finished) {
                finished++;
                started += tested.finish(now, SERVICE_MILLIS).size();
            }
            accepted -= tested.removeExpired(now).size();
            assertThat(tested.inFlight(), lessThanOrEqualTo(3));
            assertThat(tested.inFlight(), is(started - finished));
            assertThat(tested.queued(), is(accepted - started));
        }
    }

    private Map<String, Integer> countStartsDuringFlood(String flooding) {
        Map<String, Integer> started = new HashMap<>();
        queue.offer(0, work(flooding, 1_000_000));
        for (int start = 0; start < 1_000; start++) {
            RANKS.forEach(rank -> queue.offer(0, work(rank.name(), 1_000_000)));
            ranksOf(queue.finish(start * 10L, SERVICE_MILLIS)).forEach(rank -> started.merge(rank, 1, Integer::sum));
        }
        return started;
    }

    private WorkItem<String> work(String rank, long deadline) {
        return new WorkItem<>("w" + lastId++, rank, deadline, "payload");
    }

    private static List<String> ranksOf(List<WorkItem<String>> items) {
        return new ArrayList<>(items.stream().map(WorkItem::rank).toList());
    }
}
