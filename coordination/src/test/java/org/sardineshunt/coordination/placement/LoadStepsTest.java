package org.sardineshunt.coordination.placement;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class LoadStepsTest {
    private final LoadSteps steps = new LoadSteps(1, 100, 250, 2_500);

    @Test
    void tellsAtOnceThatAHomeIsFull() {
        assertThat(steps.mustTell(0, 1, 0), is(false));
        assertThat(steps.mustTell(1, 0, 50), is(true));
    }

    @Test
    void tellsTheSameWaitOnlyNowAndThen() {
        steps.mustTell(0, 0, 800);

        assertThat(steps.mustTell(2_000, 0, 900), is(false));
        assertThat(steps.mustTell(3_000, 0, 900), is(true));
    }

    @Test
    void tellsAChangeThatWasHeldBack() {
        steps.mustTell(0, 0, 800);

        assertThat(steps.mustTell(100, 1, 0), is(false));
        assertThat(steps.isHeldBack(1, 0), is(true));
        assertThat(steps.mustTell(250, 1, 0), is(true));
        assertThat(steps.isHeldBack(1, 0), is(false));
    }

    @Test
    void saysNothingWhileEnoughSlotsAreFree() {
        LoadSteps fine = new LoadSteps(2, 50, 30, 2_500);

        assertThat(fine.mustTell(0, 4, 0), is(false));
        assertThat(fine.mustTell(0, 2, 0), is(false));
        assertThat(fine.mustTell(0, 1, 0), is(true));
    }

    /** A wave of load: the wait rises from nothing to three seconds and falls again, twice in a minute. */
    @Test
    void tellsAFewTimesASecondAtMost() {
        long told = IntStream.range(0, 6_000)
                .filter(tick -> {
                    double wait = Math.max(0, 3_000 * Math.sin(tick * 10 / 30_000.0 * 2 * Math.PI));
                    return steps.mustTell(tick * 10L, wait == 0 ? 1 : 0, wait);
                })
                .count();

        assertThat(told, greaterThan(20L));
        assertThat(told, lessThanOrEqualTo(60L));
    }
}
