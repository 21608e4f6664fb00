package org.sardineshunt.coordination.health;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ActiveClockTest {
    private final ActiveClock clock = new ActiveClock(50, 1_000);

    @Test
    void countsAllTimeWhileTicksAreOnTime() {
        clock.tick(1_050);
        clock.tick(1_120);
        assertThat(clock.activeMillis(1_150), is(150L));
    }

    /** Guards against counting a pause of the process as latency of what it waits for. */
    @Test
    void standsStillWhileATickIsLate() {
        clock.tick(1_050);
        assertThat("just before the late tick", clock.activeMillis(1_650), is(150L));
        clock.tick(1_650);
        assertThat("at the late tick", clock.activeMillis(1_650), is(150L));
        assertThat("after it", clock.activeMillis(1_700), is(200L));
    }
}
