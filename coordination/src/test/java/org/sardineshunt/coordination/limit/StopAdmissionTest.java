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
     * Plays callers that send every 10 ms until the end, to upstreams of which some hang until the deadline: no request
     * that is taken after the notice is given up, and those with little time are still served. Guards against ending
     * bookings of a stopping node halfway (LOST): they were taken because they are usually short.
     */
    @Test
    void givesUpNoRequestThatItTookAfterTheNotice() {
        Random random = new Random(11);
        long givenUp = 0;
        long served = 0;
        for (long now = NOTICED_MILLIS; now < END_MILLIS; now += 10) {
            long timeLeftMillis = random.nextInt(4) == 0 ? 5_000 : 400;
            boolean hangs = random.nextInt(10) == 0;
            double actualMillis = hangs ? timeLeftMillis : 120 * (0.5 + 2.5 * random.nextDouble());
            if (admission.takes(now, now + timeLeftMillis)) {
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
