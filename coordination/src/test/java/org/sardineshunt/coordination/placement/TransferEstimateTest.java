package org.sardineshunt.coordination.placement;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

class TransferEstimateTest {
    /** One large response must not move all later requests of the route. */
    @Test
    void followsTheMeanOfTheRoute() {
        TransferEstimate estimate = new TransferEstimate(10);
        IntStream.range(0, 100).forEach(index -> estimate.record("a", 1_000));
        estimate.record("a", 11_000);
        assertThat(estimate.bytes("a"), closeTo(2_000, 1));
        assertThat(estimate.bytes("b"), is(0.0));
    }

    /** Configurations change their routes all the time, so the map would grow without end. */
    @Test
    void dropsTheRouteWithoutASampleForLongest() {
        TransferEstimate estimate = new TransferEstimate(2);
        estimate.record("a", 1_000);
        estimate.record("b", 1_000);
        estimate.record("a", 1_000);
        estimate.record("c", 1_000);
        assertThat(estimate.bytes("a"), is(1_000.0));
        assertThat(estimate.bytes("b"), is(0.0));
    }
}
