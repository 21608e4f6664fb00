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

    private final AdmissionQueue<String> gate = AdmissionQueue.<String>builder()
            .ranks(RANKS)
            .slots(1)
            .initialServiceMillis(SERVICE_MILLIS)
            .queueLimit(10_000)
            .build();
    private int lastId;

    @Test
    void urgentWorkIsStartedFirst() {
        gate.offer(0, work("browse", 10_000));
        gate.offer(0, work("browse", 10_000));
        gate.offer(0, work("payment", 10_000));

        assertThat(ranksOf(gate.finish(10, SERVICE_MILLIS)), contains("payment"));
        assertThat(ranksOf(gate.finish(20, SERVICE_MILLIS)), contains("browse"));
    }

    @Test
    void floodOfTheMostUrgentLeavesEachRankItsGuaranteedShare() {
        Map<String, Integer> started = startsUnderFlood("payment");

        assertThat(started.get("booking"), greaterThanOrEqualTo(95));
        assertThat(started.get("browse"), greaterThanOrEqualTo(45));
    }

    @Test
    void floodOfTheLeastUrgentCostsUrgentWorkNothing() {
        for (int flood = 0; flood < 200; flood++) {
            gate.offer(0, work("browse", 100_000));
        }
        gate.offer(0, work("payment", 100_000));

        assertThat(ranksOf(gate.finish(10, SERVICE_MILLIS)), contains("payment"));
    }

    @Test
    void workThatWouldMissItsDeadlineIsRefusedBeforeTheWait() {
        gate.offer(0, work("browse", 1_000));
        gate.offer(0, new WorkItem<>("due first", "browse", 1_000, 20, SERVICE_MILLIS, "payload"));

        assertThat(gate.offer(0, work("browse", 25)), is(Either.left(Reason.DEADLINE_SLACK)));
    }

    /** Short calls of running requests must not be refused for the length of the long requests that they wait behind. */
    @Test
    void shortWorkIsAcceptedBehindLongWork() {
        AdmissionQueue<String> mixed = AdmissionQueue.<String>builder()
                .ranks(RANKS)
                .slots(4)
                .initialServiceMillis(1_600)
                .build();
        for (int running = 0; running < 4; running++) {
            mixed.offer(0, new WorkItem<>("long" + running, "browse", 20_000, 8_000, 1_600, "payload"));
        }
        WorkItem<String> call = new WorkItem<>("call", "booking", 1_200, 400, 93, "payload");
        assertThat(mixed.offer(0, call), is(Either.right(false)));
    }

    /** A call that is due soon overtakes its rank's queue, so the length of that queue is no reason to refuse it. */
    @Test
    void workThatOvertakesTheQueueIsNotRefusedForItsLength() {
        gate.offer(0, new WorkItem<>("running", "booking", 60_000, 60_000, 500, "payload"));
        for (int waiting = 0; waiting < 20; waiting++) {
            gate.offer(0, new WorkItem<>("waiting" + waiting, "booking", 60_000, 1_500, 500, "payload"));
        }
        WorkItem<String> call = new WorkItem<>("call", "booking", 1_200, 400, 93, "payload");
        assertThat(gate.offer(0, call), is(Either.right(false)));
    }

    /** Found on the bench: requests with little more time than they take were all refused wherever a queue had formed. */
    @Test
    void workWithLittleTimeGoesFirstInsteadOfBeingRefused() {
        AdmissionQueue<String> full = AdmissionQueue.<String>builder()
                .ranks(RANKS)
                .slots(4)
                .initialServiceMillis(500)
                .build();
        for (int offered = 0; offered < 8; offered++) {
            full.offer(0, new WorkItem<>("usual" + offered, "browse", 4_000, 1_500, 500, "payload"));
        }

        assertThat(full.offer(0, new WorkItem<>("short", "browse", 813, 813, 500, "payload")), is(Either.right(false)));
        assertThat(full.finish(100, 500).get(0).id(), is("short"));
    }

    /** In a flood a booking that can't be in time any more is told so at once, not when its deadline is near. */
    @Test
    void lateWorkWithoutHopeIsGivenBackEarly() {
        gate.offer(0, new WorkItem<>("running", "booking", 60_000, 60_000, 500, "payload"));
        gate.offer(0, new WorkItem<>("late", "booking", 5_000, 1_500, 500, "payload"));
        assertThat(gate.removeIfExpectedToMissDeadline(1_001, "late").isEmpty(), is(true));
        for (int timely = 0; timely < 5; timely++) {
            gate.offer(1_001, new WorkItem<>("timely" + timely, "booking", 60_000, 9_000, 500, "payload"));
        }
        assertThat(gate.removeIfExpectedToMissDeadline(1_001, "late").isPresent(), is(true));
    }

    @Test
    void withinARankTheFirstThatIsDueStartsFirst() {
        gate.offer(0, new WorkItem<>("running", "booking", 9_000, 9_000, 10, "payload"));
        gate.offer(0, new WorkItem<>("later", "booking", 9_000, 1_500, 10, "payload"));
        gate.offer(0, new WorkItem<>("sooner", "booking", 9_000, 400, 10, "payload"));
        assertThat(gate.finish(10, 10).get(0).id(), is("sooner"));
    }

    @Test
    void workThatCanBeInTimeStartsBeforeWorkThatIsLateAnyway() {
        gate.offer(0, new WorkItem<>("running", "booking", 9_000, 9_000, 10, "payload"));
        gate.offer(0, new WorkItem<>("late", "booking", 9_000, 100, 10, "payload"));
        gate.offer(0, new WorkItem<>("timely", "booking", 9_000, 1_500, 10, "payload"));
        assertThat(gate.finish(500, 10).get(0).id(), is("timely"));
    }

    @Test
    void expiredWorkNeverStarts() {
        gate.offer(0, work("browse", 1_000));
        gate.offer(0, work("browse", 100));

        assertThat(gate.finish(200, SERVICE_MILLIS).isEmpty(), is(true));
        assertThat(gate.removeExpired(200).size(), is(1));
    }

    @Test
    void workWithoutTimeForItsServiceNeverStarts() {
        gate.offer(0, work("browse", 1_000));
        gate.offer(0, work("browse", 100));

        assertThat(gate.finish(95, SERVICE_MILLIS).isEmpty(), is(true));
        assertThat(gate.removeExpired(95).size(), is(1));
    }

    @Test
    void lowerLimitStartsNothingNew() {
        gate.offer(0, work("browse", 1_000));
        gate.offer(0, work("browse", 1_000));

        assertThat(gate.setConcurrencyLimit(0, 0).isEmpty(), is(true));
        assertThat(gate.finish(10, SERVICE_MILLIS).isEmpty(), is(true));
    }

    @Test
    void urgentOverridePutsARankFirst() {
        gate.urgentRank("browse");
        gate.offer(0, work("payment", 10_000));
        gate.offer(0, work("payment", 10_000));
        gate.offer(0, work("browse", 10_000));

        assertThat(ranksOf(gate.finish(10, SERVICE_MILLIS)), contains("browse"));
    }

    @Property(seed = "20261204", tries = 300)
    void slotsInUseNeverExceedTheLimitAndNothingIsLost(
            @ForAll @Size(max = 120) List<@IntRange(min = 0, max = 5) Integer> steps) {
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

    private Map<String, Integer> startsUnderFlood(String flooding) {
        Map<String, Integer> started = new HashMap<>();
        gate.offer(0, work(flooding, 1_000_000));
        for (int start = 0; start < 1_000; start++) {
            RANKS.forEach(rank -> gate.offer(0, work(rank.name(), 1_000_000)));
            ranksOf(gate.finish(start * 10L, SERVICE_MILLIS)).forEach(rank -> started.merge(rank, 1, Integer::sum));
        }
        return started;
    }

    private WorkItem<String> work(String rank, long deadline) {
        return new WorkItem<>("w" + lastId++, rank, deadline, "payload");
    }

    private static List<String> ranksOf(List<WorkItem<String>> works) {
        return new ArrayList<>(works.stream().map(WorkItem::rank).toList());
    }
}
