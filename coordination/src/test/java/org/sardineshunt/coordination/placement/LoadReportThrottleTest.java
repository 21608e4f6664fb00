package org.sardineshunt.coordination.placement;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class LoadReportThrottleTest {
    private final LoadReportThrottle steps = new LoadReportThrottle(1, 100, 250, 2_500);

    @Test
    void tellsAtOnceThatAHomeIsFull() {
        assertThat(steps.shouldReport(0, 1, 0), is(false));
        assertThat(steps.shouldReport(1, 0, 50), is(true));
    }

    @Test
    void tellsTheSameWaitOnlyNowAndThen() {
        steps.shouldReport(0, 0, 800);

        assertThat(steps.shouldReport(2_000, 0, 900), is(false));
        assertThat(steps.shouldReport(3_000, 0, 900), is(true));
    }

    @Test
    void tellsAChangeThatWasHeldBack() {
        steps.shouldReport(0, 0, 800);

        assertThat(steps.shouldReport(100, 1, 0), is(false));
        assertThat(steps.hasPendingChange(1, 0), is(true));
        assertThat(steps.shouldReport(250, 1, 0), is(true));
        assertThat(steps.hasPendingChange(1, 0), is(false));
    }

    @Test
    void saysNothingWhileEnoughSlotsAreFree() {
        LoadReportThrottle fine = new LoadReportThrottle(2, 50, 30, 2_500);

        assertThat(fine.shouldReport(0, 4, 0), is(false));
        assertThat(fine.shouldReport(0, 2, 0), is(false));
        assertThat(fine.shouldReport(0, 1, 0), is(true));
    }

    /** A wave of load: the wait rises from nothing to three seconds and falls again, twice in a minute. */
    @Test
    void tellsAFewTimesASecondAtMost() {
        long told = IntStream.range(0, 6_000)
                .filter(tick -> {
                    double wait = Math.max(0, 3_000 * Math.sin(tick * 10 / 30_000.0 * 2 * Math.PI));
                    return steps.shouldReport(tick * 10L, wait == 0 ? 1 : 0, wait);
                })
                .count();

        assertThat(told, greaterThan(20L));
        assertThat(told, lessThanOrEqualTo(60L));
    }
}
