package org.sardineshunt.coordination.membership;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class SilenceDetectorTest {
    private final SilenceDetector detector = new SilenceDetector(900, 300, 0);

    @Test
    void findsSilence() {
        assertThat(detector.checkSilent(300), is(false));
        assertThat(detector.checkSilent(600), is(false));
        assertThat(detector.checkSilent(900), is(true));
    }

    @Test
    void findsNoSilenceWhileSomethingIsReceived() {
        for (long now = 300; now < 9_000; now += 300) {
            detector.recordReceived(now - 10);
            assertThat(detector.checkSilent(now), is(false));
        }
    }

    /** Guards against judging a peer by what a paused process has not read yet. */
    @Test
    void measuresAnewAfterAPause() {
        detector.checkSilent(300);

        assertThat(detector.checkSilent(7_000), is(false));
        assertThat(detector.checkSilent(7_300), is(false));
        assertThat(detector.checkSilent(7_600), is(false));
        assertThat(detector.checkSilent(7_900), is(true));
    }

    @Test
    void findsSilenceThoughAllChecksAreLate() {
        assertThat(detector.checkSilent(1_000), is(false));
        assertThat(detector.checkSilent(2_000), is(true));
    }
}
