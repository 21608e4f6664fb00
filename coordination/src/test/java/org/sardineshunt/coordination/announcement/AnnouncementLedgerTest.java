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

class AnnouncementLedgerTest {
    private static final long NOW = 10_000;

    private final AnnouncementLedger ledger = new AnnouncementLedger();

    @Test
    void keepsTheNewestOfOneStart() {
        ledger.announce(announcement("a", 1, 5, Phase.READY));
        assertThat(ledger.announce(announcement("a", 1, 4, Phase.DRAINING)), is(false));
        assertThat(phase(), is(Phase.READY));
    }

    @Test
    void neverBringsALeavingUpstreamBack() {
        ledger.announce(announcement("a", 1, 5, Phase.DRAINING));
        ledger.announce(announcement("a", 1, 6, Phase.READY));
        assertThat(phase(), is(Phase.DRAINING));
        ledger.leave("a", 1, NOW);
        ledger.announce(announcement("a", 1, 7, Phase.READY));
        assertThat(phase(), is(Phase.LEFT));
    }

    @Test
    void takesALaterStartUnderTheSameName() {
        ledger.announce(announcement("a", 1, 50, Phase.READY));
        ledger.leave("a", 1, NOW);
        assertThat(ledger.announce(announcement("a", 2, 1, Phase.READY)), is(true));
        assertThat(phase(), is(Phase.READY));
    }

    @Test
    void ignoresALateLeaveOfAnEarlierStart() {
        ledger.announce(announcement("a", 2, 1, Phase.READY));
        assertThat(ledger.leave("a", 1, NOW), is(false));
        assertThat(phase(), is(Phase.READY));
    }

    @Test
    void ignoresAnEarlierStartUnderAnotherName() {
        ledger.announce(announcement("b", 2, 1, Phase.READY));
        assertThat(ledger.announce(announcement("a", 1, 90, Phase.READY)), is(false));
        assertThat(ledger.current().orElseThrow().id(), is("b"));
    }

    @Test
    void remembersALeaveOfAnUpstreamThatItDidNotKnow() {
        assertThat(ledger.leave("a", 0, NOW), is(true));
        assertThat(ledger.announce(announcement("a", NOW - 500, 9, Phase.READY)), is(false));
        assertThat(phase(), is(Phase.LEFT));
        assertThat(ledger.announce(announcement("a", NOW + 1, 1, Phase.READY)), is(true));
    }

    @Test
    void letsAnotherUpstreamTakeThePlaceOfOneThatLeft() {
        ledger.leave("a", 0, NOW);
        assertThat(ledger.announce(announcement("b", NOW - 500, 1, Phase.READY)), is(true));
    }

    /** In whatever order and how often they arrive, the last start wins and ends in its last phase. */
    @Property(tries = 300, seed = "11")
    void endsAlikeInEveryOrder(@ForAll @IntRange(max = 100_000) int seed) {
        List<Announcement> sent = Stream.of(1L, 2L, 3L)
                .flatMap(born -> IntStream.rangeClosed(1, 4)
                        .mapToObj(sequence ->
                                announcement("a", born, sequence, sequence < 3 ? Phase.READY : Phase.DRAINING)))
                .toList();
        List<Announcement> arriving = new ArrayList<>(sent);
        arriving.addAll(sent);
        Collections.shuffle(arriving, new Random(seed));
        AnnouncementLedger shuffled = new AnnouncementLedger();
        arriving.forEach(shuffled::announce);
        Announcement last = shuffled.current().orElseThrow();
        assertThat(last.born(), is(3L));
        assertThat(last.sequence(), is(4L));
        assertThat(last.phase(), is(Phase.DRAINING));
    }

    private Phase phase() {
        return ledger.current().orElseThrow().phase();
    }

    private static Announcement announcement(String id, long born, long sequence, Phase phase) {
        return new Announcement(id, born, sequence, "service", 4, phase, 0);
    }
}
