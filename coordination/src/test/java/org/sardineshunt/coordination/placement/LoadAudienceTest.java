package org.sardineshunt.coordination.placement;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class LoadAudienceTest {
    private final LoadAudience audience = new LoadAudience();

    @Test
    void consistsOfNodesThatSentWorkAMomentAgo() {
        audience.heard(0, "old");
        audience.heard(9_000, "new");

        assertThat(audience.nodes(11_000), is(List.of("new")));
    }

    @Test
    void hearsAtOnceThatAHomeIsFull() {
        assertThat(audience.mustTell(0, true, 0), is(false));
        assertThat(audience.mustTell(1, false, 50), is(true));
    }

    @Test
    void hearsOfTheSameWaitOnlyNowAndThen() {
        audience.mustTell(0, false, 800);

        assertThat(audience.mustTell(2_000, false, 900), is(false));
        assertThat(audience.mustTell(3_000, false, 900), is(true));
    }

    @Test
    void hearsOfAChangeThatWasHeldBack() {
        audience.mustTell(0, false, 800);

        assertThat(audience.mustTell(100, true, 0), is(false));
        assertThat(audience.heldBackMillis(100, true, 0), is(150L));
        assertThat(audience.mustTell(250, true, 0), is(true));
        assertThat(audience.heldBackMillis(250, true, 0), is(0L));
    }

    /** A wave of load: the wait rises from nothing to three seconds and falls again, twice in a minute. */
    @Test
    void hearsAFewTimesASecondAtMost() {
        long told = IntStream.range(0, 6_000)
                .filter(tick -> {
                    double wait = Math.max(0, 3_000 * Math.sin(tick * 10 / 30_000.0 * 2 * Math.PI));
                    return audience.mustTell(tick * 10L, wait == 0, wait);
                })
                .count();

        assertThat(told, greaterThan(20L));
        assertThat(told, lessThanOrEqualTo(60L));
    }
}
