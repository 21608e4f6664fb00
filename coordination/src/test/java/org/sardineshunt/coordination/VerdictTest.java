package org.sardineshunt.coordination;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class VerdictTest {
    @Test
    void nonIdempotentWorkIsRetriedOnlyIfProvedNotRun() {
        assertThat(Verdict.NOT_RUN.allowsRetry(false), is(true));
        assertThat(Verdict.MAY_HAVE_RUN.allowsRetry(false), is(false));
        assertThat(Verdict.RAN.allowsRetry(false), is(false));
    }

    @Test
    void idempotentWorkThatMayHaveRunIsRetried() {
        assertThat(Verdict.MAY_HAVE_RUN.allowsRetry(true), is(true));
        assertThat(Verdict.RAN.allowsRetry(true), is(false));
    }
}
