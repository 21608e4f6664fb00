package org.sardineshunt.coordination.membership;

import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FleetWideRateTest {
    private static final long PLAYED_MILLIS = 600_000;

    private final FleetWideRate rate = new FleetWideRate(2, 1_000);

    /** Plays ten minutes in which all nodes start at the same moment. */
    @ParameterizedTest
    @ValueSource(ints = {3, 30, 300})
    void aFleetOfAnySizeActsAtTheRate(int nodes) {
        Random random = new Random(7);
        long actions = IntStream.range(0, nodes)
                .mapToLong(node -> times(nodes, random).count())
                .sum();
        assertThat(actions / (PLAYED_MILLIS / 1_000.0), closeTo(2, 0.2));
    }

    /** The load that this answers: one response reaches all nodes at once, and what follows it is lost at all of them. */
    @Test
    void someNodeActsSoonAfterAllHaveStartedTogether() {
        long late = IntStream.range(0, 200)
                .filter(seed -> {
                    Random random = new Random(seed);
                    long first = IntStream.range(0, 100)
                            .mapToLong(node -> rate.nextDelayMillis(100, random))
                            .min()
                            .orElseThrow();
                    return first > 1_500;
                })
                .count();
        assertThat(late, lessThan(20L));
    }

    @Test
    void aLoneNodeDoesNotActMoreOftenThanTheMinimumAllows() {
        assertThat(times(1, new Random(3)).count() / (PLAYED_MILLIS / 1_000.0), closeTo(1, 0.1));
    }

    @Test
    void refusesARateThatIsNotPositive() {
        IllegalArgumentException refused =
                assertThrows(IllegalArgumentException.class, () -> new FleetWideRate(0, 1_000));
        assertThat(refused.getMessage(), is("perSecond is 0.0, expected more than 0"));
    }

    private LongStream times(int nodes, Random random) {
        return LongStream.iterate(
                rate.nextDelayMillis(nodes, random),
                time -> time < PLAYED_MILLIS,
                time -> time + rate.nextDelayMillis(nodes, random));
    }
}
