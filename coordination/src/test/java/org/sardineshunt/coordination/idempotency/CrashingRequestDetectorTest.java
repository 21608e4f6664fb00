package org.sardineshunt.coordination.idempotency;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class CrashingRequestDetectorTest {
    private final CrashingRequestDetector guard = new CrashingRequestDetector(2, 1_000);

    @Test
    void requestWithTwoVictimsIsRefused() {
        guard.recordCrash(0, "bad", "u1");
        assertThat(guard.mustRefuse(0, "bad"), is(false));

        guard.recordCrash(0, "bad", "u2");
        assertThat(guard.mustRefuse(0, "bad"), is(true));
    }

    @Test
    void requestThatOnlySharedAVictimIsClearedByAnAnswer() {
        guard.recordCrash(0, "innocent", "u1");
        guard.recordAnswer("innocent");
        guard.recordCrash(0, "innocent", "u2");

        assertThat(guard.mustRefuse(0, "innocent"), is(false));
    }

    @Test
    void repeatedNewsOfOneVictimCountOnce() {
        guard.recordCrash(0, "bad", "u1");

        assertThat(guard.recordCrash(0, "bad", "u1"), is(false));
        assertThat(guard.mustRefuse(0, "bad"), is(false));
    }

    @Test
    void suspicionEndsWithItsTime() {
        guard.recordCrash(0, "bad", "u1");
        guard.recordCrash(0, "bad", "u2");

        assertThat(guard.mustRefuse(1_000, "bad"), is(false));
    }
}
