package org.sardineshunt.coordination.health;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.health.Baseline.Sample;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

class BaselineTest {
    @Test
    void staysHealthyWhenHalfOfTheGroupIsUnhealthy() {
        Baseline baseline = Baseline.of(
                List.of(new Sample(50, 0, 10), new Sample(50, 0, 12), new Sample(50, 25, 300), new Sample(50, 30, 400)),
                3);

        assertThat(baseline.failureShare(), closeTo(0, 0.001));
        assertThat(baseline.medianLatencyMillis(), closeTo(12, 0.001));
    }

    @Test
    void ignoresSamplesWithTooFewRequests() {
        assertThat(Baseline.of(List.of(new Sample(2, 2, 10)), 3), is(Baseline.UNKNOWN));
    }
}
