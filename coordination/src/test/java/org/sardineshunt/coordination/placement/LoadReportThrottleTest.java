package org.sardineshunt.coordination.placement;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class LoadReportThrottleTest {
    private final LoadReportThrottle throttle = new LoadReportThrottle(1, 100, 250, 2_500);

    @Test
    void reportsAFullHomeImmediately() {
        assertThat(throttle.shouldReport(0, 1, 0), is(false));
        assertThat(throttle.shouldReport(1, 0, 50), is(true));
    }

    @Test
    void repeatsAnUnchangedWaitOnlyAfterTheRepeatInterval() {
        throttle.shouldReport(0, 0, 800);

        assertThat(throttle.shouldReport(2_000, 0, 900), is(false));
        assertThat(throttle.shouldReport(3_000, 0, 900), is(true));
    }

    @Test
    void reportsAPendingChangeAfterTheMinimumInterval() {
        throttle.shouldReport(0, 0, 800);

        assertThat(throttle.shouldReport(100, 1, 0), is(false));
        assertThat(throttle.hasPendingChange(1, 0), is(true));
        assertThat(throttle.shouldReport(250, 1, 0), is(true));
        assertThat(throttle.hasPendingChange(1, 0), is(false));
    }

    @Test
    void reportsNothingWhileEnoughSlotsAreFree() {
        LoadReportThrottle finerThrottle = new LoadReportThrottle(2, 50, 30, 2_500);

        assertThat(finerThrottle.shouldReport(0, 4, 0), is(false));
        assertThat(finerThrottle.shouldReport(0, 2, 0), is(false));
        assertThat(finerThrottle.shouldReport(0, 1, 0), is(true));
    }

    /** The expected wait rises from nothing to three seconds and falls again, twice in a minute. */
    @Test
    void limitsTheReportsOfALoadWave() {
        long reports = IntStream.range(0, 6_000)
                .filter(tick -> {
                    double waitMillis = Math.max(0, 3_000 * Math.sin(tick * 10 / 30_000.0 * 2 * Math.PI));
                    return throttle.shouldReport(tick * 10L, waitMillis == 0 ? 1 : 0, waitMillis);
                })
                .count();

        assertThat(reports, greaterThan(20L));
        assertThat(reports, lessThanOrEqualTo(60L));
    }
}
