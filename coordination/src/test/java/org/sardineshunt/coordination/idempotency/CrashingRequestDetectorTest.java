package org.sardineshunt.coordination.idempotency;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class CrashingRequestDetectorTest {
    private final CrashingRequestDetector detector = new CrashingRequestDetector(2, 1_000);

    @Test
    void requestThatCrashedTwoUpstreamsIsRefused() {
        detector.recordCrash(0, "crashing", "u1");
        assertThat(detector.mustRefuse(0, "crashing"), is(false));

        detector.recordCrash(0, "crashing", "u2");
        assertThat(detector.mustRefuse(0, "crashing"), is(true));
    }

    @Test
    void requestInFlightDuringACrashIsClearedByAnAnswer() {
        detector.recordCrash(0, "harmless", "u1");
        detector.recordAnswer("harmless");
        detector.recordCrash(0, "harmless", "u2");

        assertThat(detector.mustRefuse(0, "harmless"), is(false));
    }

    @Test
    void repeatedReportsOfOneCrashCountOnce() {
        detector.recordCrash(0, "crashing", "u1");

        assertThat(detector.recordCrash(0, "crashing", "u1"), is(false));
        assertThat(detector.mustRefuse(0, "crashing"), is(false));
    }

    @Test
    void requestIsNoLongerRefusedAfterRetention() {
        detector.recordCrash(0, "crashing", "u1");
        detector.recordCrash(0, "crashing", "u2");

        assertThat(detector.mustRefuse(1_000, "crashing"), is(false));
    }
}
