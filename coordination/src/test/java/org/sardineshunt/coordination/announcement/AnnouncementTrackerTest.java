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
    private static final long NOW = 10_000;

    private final AnnouncementTracker tracker = new AnnouncementTracker();

    @Test
    void keepsTheNewestOfOneStart() {
        tracker.merge(announcement("a", 1, 5, Phase.READY));
        assertThat(tracker.merge(announcement("a", 1, 4, Phase.DRAINING)), is(false));
        assertThat(phase(), is(Phase.READY));
    }

    @Test
    void neverBringsALeavingUpstreamBack() {
        tracker.merge(announcement("a", 1, 5, Phase.DRAINING));
        tracker.merge(announcement("a", 1, 6, Phase.READY));
        assertThat(phase(), is(Phase.DRAINING));
        tracker.markLeft("a", 1, NOW);
        tracker.merge(announcement("a", 1, 7, Phase.READY));
        assertThat(phase(), is(Phase.LEFT));
    }

    @Test
    void takesALaterStartUnderTheSameName() {
        tracker.merge(announcement("a", 1, 50, Phase.READY));
        tracker.markLeft("a", 1, NOW);
        assertThat(tracker.merge(announcement("a", 2, 1, Phase.READY)), is(true));
        assertThat(phase(), is(Phase.READY));
    }

    @Test
    void ignoresALateLeaveOfAnEarlierStart() {
        tracker.merge(announcement("a", 2, 1, Phase.READY));
        assertThat(tracker.markLeft("a", 1, NOW), is(false));
        assertThat(phase(), is(Phase.READY));
    }

    @Test
    void ignoresAnEarlierStartUnderAnotherName() {
        tracker.merge(announcement("b", 2, 1, Phase.READY));
        assertThat(tracker.merge(announcement("a", 1, 90, Phase.READY)), is(false));
        assertThat(tracker.current().orElseThrow().id(), is("b"));
    }

    @Test
    void remembersALeaveOfAnUpstreamThatItDidNotKnow() {
        assertThat(tracker.markLeft("a", 0, NOW), is(true));
        assertThat(tracker.merge(announcement("a", NOW - 500, 9, Phase.READY)), is(false));
        assertThat(phase(), is(Phase.LEFT));
        assertThat(tracker.merge(announcement("a", NOW + 1, 1, Phase.READY)), is(true));
    }

    @Test
    void letsAnotherUpstreamTakeThePlaceOfOneThatLeft() {
        tracker.markLeft("a", 0, NOW);
        assertThat(tracker.merge(announcement("b", NOW - 500, 1, Phase.READY)), is(true));
    }

    /** In whatever order and how often they arrive, the last start wins and ends in its last phase. */
    @Property(tries = 300, seed = "11")
    void endsAlikeInEveryOrder(@ForAll @IntRange(max = 100_000) int seed) {
        List<Announcement> sent = Stream.of(1L, 2L, 3L)
                .flatMap(startedEpochMillis -> IntStream.rangeClosed(1, 4)
                        .mapToObj(sequence -> announcement(
                                "a", startedEpochMillis, sequence, sequence < 3 ? Phase.READY : Phase.DRAINING)))
                .toList();
        List<Announcement> arriving = new ArrayList<>(sent);
        arriving.addAll(sent);
        Collections.shuffle(arriving, new Random(seed));
        AnnouncementTracker shuffled = new AnnouncementTracker();
        arriving.forEach(shuffled::merge);
        Announcement last = shuffled.current().orElseThrow();
        assertThat(last.startedEpochMillis(), is(3L));
        assertThat(last.sequence(), is(4L));
        assertThat(last.phase(), is(Phase.DRAINING));
    }

    private Phase phase() {
        return tracker.current().orElseThrow().phase();
    }

    private static Announcement announcement(String id, long startedEpochMillis, long sequence, Phase phase) {
        return new Announcement(id, startedEpochMillis, sequence, "service", 4, phase, 0);
    }
}
