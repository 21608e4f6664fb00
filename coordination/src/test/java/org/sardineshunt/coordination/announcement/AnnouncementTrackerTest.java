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

    /** Guards against bringing back an upstream that has left (DRAIN): two delayed announcements arrived after it. */
    @Test
    void aLeaveOutlivesDelayedAnnouncementsOfItsOwnAndOfAnEarlierStart() {
        tracker.merge(announcement("first", 1, 5, Phase.READY));
        tracker.merge(announcement("second", 2, 5, Phase.READY));
        tracker.markLeft("second", 2, NOW_EPOCH_MILLIS);

        assertThat(tracker.merge(announcement("first", 1, 6, Phase.READY)), is(false));
        assertThat(tracker.merge(announcement("second", 2, 4, Phase.READY)), is(false));
        tracker.merge(announcement("second", 2, 6, Phase.READY));

        assertThat(tracker.current().orElseThrow().id(), is("second"));
        assertThat(currentPhase(), is(Phase.LEFT));
    }

    /** The first announcement of a start may be delayed until after its departure. */
    @Test
    void aLeaveOfALaterStartPrecedesItsAnnouncement() {
        tracker.merge(announcement("first", 1, 5, Phase.READY));

        assertThat(tracker.markLeft("second", 2, NOW_EPOCH_MILLIS), is(true));
        tracker.merge(announcement("second", 2, 1, Phase.READY));

        assertThat(tracker.current().orElseThrow().id(), is("second"));
        assertThat(currentPhase(), is(Phase.LEFT));
    }

    @Test
    void aStartThatWasReplacedNeverComesBackIfStartTimesAreUnknown() {
        tracker.merge(announcement("a", 0, 5, Phase.READY));
        assertThat(tracker.merge(announcement("b", 0, 1, Phase.READY)), is(true));
        assertThat(tracker.merge(announcement("a", 0, 6, Phase.READY)), is(false));
        assertThat(tracker.merge(announcement("c", 3, 1, Phase.READY)), is(true));
        assertThat(tracker.merge(announcement("b", 0, 2, Phase.READY)), is(false));
        assertThat(tracker.current().orElseThrow().id(), is("c"));
    }

    @Test
    void remembersTheLeaveOfAnotherUpstreamWhoseStartIsUnknown() {
        tracker.merge(announcement("a", 0, 5, Phase.READY));

        assertThat(tracker.markLeft("b", 0, NOW_EPOCH_MILLIS), is(false));

        assertThat(tracker.merge(announcement("b", NOW_EPOCH_MILLIS - 500, 1, Phase.READY)), is(false));
        assertThat(tracker.merge(announcement("b", NOW_EPOCH_MILLIS + 1, 1, Phase.READY)), is(true));
    }

    /** Of three starts in any order and number of copies, the last one must result, with its leave if it has left. */
    @Property(tries = 500, seed = "12")
    void noStartIsReadyAfterItsLeave(@ForAll @IntRange(max = 1_000_000) int shuffleSeed) {
        Random random = new Random(shuffleSeed);
        boolean lastLeaves = random.nextBoolean();
        List<Announcement> sent = new ArrayList<>(Stream.of(1L, 2L, 3L)
                .flatMap(started -> IntStream.rangeClosed(1, 4)
                        .mapToObj(sequence -> announcement("start-" + started, started, sequence, Phase.READY)))
                .toList());
        sent.addAll(List.copyOf(sent));
        sent.add(announcement("start-1", 1, 0, Phase.LEFT));
        sent.add(announcement("start-2", 2, 0, Phase.LEFT));
        if (lastLeaves) {
            sent.add(announcement("start-3", 3, 0, Phase.LEFT));
        }
        Collections.shuffle(sent, random);
        AnnouncementTracker shuffledTracker = new AnnouncementTracker();
        List<String> left = new ArrayList<>();
        sent.forEach(message -> {
            if (message.phase() == Phase.LEFT) {
                shuffledTracker.markLeft(message.id(), message.startedEpochMillis(), NOW_EPOCH_MILLIS);
                left.add(message.id());
            } else {
                shuffledTracker.merge(message);
            }
            Announcement current = shuffledTracker.current().orElseThrow();
            assertThat(current.phase() == Phase.READY && left.contains(current.id()), is(false));
        });
        Announcement last = shuffledTracker.current().orElseThrow();
        assertThat(last.id(), is("start-3"));
        assertThat(last.phase(), is(lastLeaves ? Phase.LEFT : Phase.READY));
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
