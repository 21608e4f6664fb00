package org.sardineshunt.coordination.announcement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.announcement.Announcement.Phase;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class AnnouncementTrackerTest {
    private static final long NOW_EPOCH_MILLIS = 10_000;

    private final AnnouncementTracker tracker = new AnnouncementTracker();

    @Test
    void ignoresAnOlderAnnouncementOfTheSameStart() {
        tracker.merge(announcement("a", 1, 5, Phase.READY));
        assertThat(tracker.merge(announcement("a", 1, 4, Phase.DRAINING)), is(false));
        assertThat(currentPhase(), is(Phase.READY));
    }

    @Test
    void neverReturnsToAnEarlierPhaseOfTheSameStart() {
        tracker.merge(announcement("a", 1, 5, Phase.DRAINING));
        tracker.merge(announcement("a", 1, 6, Phase.READY));
        assertThat(currentPhase(), is(Phase.DRAINING));
        tracker.markLeft("a", 1, NOW_EPOCH_MILLIS);
        tracker.merge(announcement("a", 1, 7, Phase.READY));
        assertThat(currentPhase(), is(Phase.LEFT));
    }

    @Test
    void restoresTheLaterPhaseBesideAnAnnouncementThatArrivedFirst() {
        tracker.merge(announcement("a", 1, 6, Phase.READY));
        assertThat(tracker.restore(announcement("a", 1, 5, Phase.LEFT)), is(true));
        assertThat(currentPhase(), is(Phase.LEFT));
        tracker.merge(announcement("a", 1, 7, Phase.READY));
        assertThat(currentPhase(), is(Phase.LEFT));
    }

    @Test
    void restoresNothingOverALaterOrUnknownStart() {
        tracker.merge(announcement("b", 2, 1, Phase.READY));
        assertThat(tracker.restore(announcement("a", 1, 9, Phase.READY)), is(false));
        assertThat(tracker.restore(announcement("c", 0, 9, Phase.READY)), is(false));
        assertThat(tracker.current().orElseThrow().id(), is("b"));
    }

    @Test
    void acceptsALaterStartWithTheSameId() {
        tracker.merge(announcement("a", 1, 50, Phase.READY));
        tracker.markLeft("a", 1, NOW_EPOCH_MILLIS);
        assertThat(tracker.merge(announcement("a", 2, 1, Phase.READY)), is(true));
        assertThat(currentPhase(), is(Phase.READY));
    }

    @Test
    void ignoresTheDepartureOfAnEarlierStart() {
        tracker.merge(announcement("a", 2, 1, Phase.READY));
        assertThat(tracker.markLeft("a", 1, NOW_EPOCH_MILLIS), is(false));
        assertThat(currentPhase(), is(Phase.READY));
    }

    @Test
    void ignoresAnEarlierStartWithAnotherId() {
        tracker.merge(announcement("b", 2, 1, Phase.READY));
        assertThat(tracker.merge(announcement("a", 1, 90, Phase.READY)), is(false));
        assertThat(tracker.current().orElseThrow().id(), is("b"));
    }

    /** A restarted node learned of a departure before it read the upstream's announcement, which then made it ready. */
    @Test
    void recordsTheDepartureOfAnUnknownUpstream() {
        assertThat(tracker.markLeft("a", 0, NOW_EPOCH_MILLIS), is(true));
        assertThat(tracker.merge(announcement("a", NOW_EPOCH_MILLIS - 500, 9, Phase.READY)), is(false));
        assertThat(currentPhase(), is(Phase.LEFT));
        assertThat(tracker.merge(announcement("a", NOW_EPOCH_MILLIS + 1, 1, Phase.READY)), is(true));
    }

    @Test
    void acceptsAnotherUpstreamAfterTheCurrentOneLeft() {
        tracker.markLeft("a", 0, NOW_EPOCH_MILLIS);
        assertThat(tracker.merge(announcement("b", NOW_EPOCH_MILLIS - 500, 1, Phase.READY)), is(true));
    }

    /** The latest start and its last phase must result, in whatever order and however often announcements arrive. */
    @Property(tries = 300, seed = "11")
    void resultIsIndependentOfTheArrivalOrder(@ForAll @IntRange(max = 100_000) int shuffleSeed) {
        List<Announcement> sent = Stream.of(1L, 2L, 3L)
                .flatMap(startedEpochMillis -> IntStream.rangeClosed(1, 4)
                        .mapToObj(sequence -> announcement(
                                "a", startedEpochMillis, sequence, sequence < 3 ? Phase.READY : Phase.DRAINING)))
                .toList();
        List<Announcement> arrivals = new ArrayList<>(sent);
        arrivals.addAll(sent);
        Collections.shuffle(arrivals, new Random(shuffleSeed));
        AnnouncementTracker shuffledTracker = new AnnouncementTracker();
        arrivals.forEach(shuffledTracker::merge);
        Announcement last = shuffledTracker.current().orElseThrow();
        assertThat(last.startedEpochMillis(), is(3L));
        assertThat(last.sequence(), is(4L));
        assertThat(last.phase(), is(Phase.DRAINING));
    }

    private Phase currentPhase() {
        return tracker.current().orElseThrow().phase();
    }

    private static Announcement announcement(String id, long startedEpochMillis, long sequence, Phase phase) {
        return new Announcement(id, startedEpochMillis, sequence, "service", 4, phase, 0);
    }
}
