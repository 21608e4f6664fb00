package org.sardineshunt.coordination.limit;

import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class StopAdmissionTest {
    private static final long NOTICED_MILLIS = 2_300;
    private static final long END_MILLIS = 4_800;

    private final StopAdmission admission = StopAdmission.stopping(NOTICED_MILLIS, END_MILLIS);

    @Test
    void takesEveryRequestUntilCallersCanKnowOfTheStop() {
        assertThat(admission.takes(0, 60_000), is(true));
        assertThat(admission.takes(NOTICED_MILLIS - 1, 60_000), is(true));
        assertThat(StopAdmission.OPEN.takes(Long.MAX_VALUE / 2, 60_000), is(true));
    }

    /**
     * Plays callers that send every 10 ms until the end, with responses that take up to three times as long as
     * expected: no request that is taken after the notice is given up, and short ones are still served.
     */
    @Test
    void givesUpNoRequestThatItTookAfterTheNotice() {
        Random random = new Random(11);
        long givenUp = 0;
        long served = 0;
        for (long now = NOTICED_MILLIS; now < END_MILLIS; now += 10) {
            double expectedMillis = random.nextInt(4) == 0 ? 1_300 : 120;
            double actualMillis = expectedMillis * (0.5 + 2.5 * random.nextDouble());
            if (admission.takes(now, expectedMillis)) {
                givenUp += now + actualMillis > END_MILLIS ? 1 : 0;
                served++;
            }
        }
        assertThat(givenUp, is(0L));
        assertThat(served, greaterThan(100L));
    }

    @Test
    void countsDownToTheEnd() {
        assertThat(
                LongStream.of(0, 4_000, 9_000)
                        .map(admission::millisUntilEnd)
                        .boxed()
                        .toList(),
                is(java.util.List.of(4_800L, 800L, 0L)));
    }
}
