package org.sardineshunt.coordination.limit;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineshunt.coordination.Rank;
import org.sardineshunt.coordination.limit.PlayedLoad.Work;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

/**
 * Plays a flood at an upstream that is slower while it is full than its usual service times say. Callers of refused work
 * must learn it at once, and two thirds of what is served must be on time.
 */
class AdmissionQueueSlowdownTest {
    private static final double SLOWDOWN_WHEN_FULL = 1.4;

    private final AdmissionQueue<Work> queue = AdmissionQueue.<Work>builder()
            .ranks(List.of(new Rank("order", 0, 0)))
            .slots(5)
            .initialServiceMillis(300)
            .build();

    @ParameterizedTest
    @ValueSource(doubles = {2, 3})
    void refusesMostOfAFloodAtOnce(double loadFactor) {
        Work order = new Work("order", 550, 2_000, 6_000, loadFactor * 5 / 0.55);
        PlayedLoad load = new PlayedLoad(5, queue, SLOWDOWN_WHEN_FULL);
        load.play(List.of(order));
        assertThat(load.result(order).atOnceShareOfRefused(), greaterThanOrEqualTo(0.75));
        assertThat(load.result(order).onTimeShareOfEnded(), greaterThanOrEqualTo(2.0 / 3));
    }
}
