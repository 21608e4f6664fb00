package org.sardineshunt.coordination.placement;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ServiceTimeEstimateTest {
    private final ServiceTimeEstimate estimate = new ServiceTimeEstimate();

    /** A check of 4 ms made an idle upstream look a hundred times as fast as it is, and drew all work of its service. */
    @Test
    void oneTrivialRequestDoesNotMakeAnUpstreamLookFast() {
        estimate.record(4, 550);
        assertThat(estimate.lengthBiasedMillis(), greaterThan(400.0));
    }

    @Test
    void oneSlowResponseDoesNotMakeAnUpstreamLookSlow() {
        estimate.record(2_000, 200);
        assertThat(estimate.meanMillis(), lessThan(700.0));
    }

    @Test
    void followsTheSamplesInTheLongRun() {
        IntStream.range(0, 60).forEach(sample -> estimate.record(100, 5_000));
        assertThat(estimate.meanMillis(), is(closeTo(100, 30)));
    }

    @Test
    void weighsLongRequestsByTheirLength() {
        IntStream.range(0, 50).forEach(sample -> estimate.record(sample % 2 == 0 ? 1_000 : 10, 500));
        assertThat(estimate.lengthBiasedMillis(), greaterThan(900.0));
    }

    @Test
    void isUnknownBeforeTheFirstSample() {
        assertThat(estimate.meanMillis(), is(0.0));
        assertThat(estimate.lengthBiasedMillis(), is(0.0));
    }
}
