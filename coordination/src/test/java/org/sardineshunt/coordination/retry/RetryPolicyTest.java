package org.sardineshunt.coordination.retry;

import java.util.stream.IntStream;

import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class RetryPolicyTest {
    private final RetryPolicy policy = new RetryPolicy(3, 5);
    private final RetryBudget budget = new RetryBudget(0.1, 10);

    @Test
    void attemptProvedNotRunIsRetried() {
        assertThat(nextAttempt(1, Verdict.NOT_RUN, false, 1_000), is(Either.right(2)));
    }

    @Test
    void nonIdempotentWorkThatMayHaveRunIsNeverRetried() {
        assertThat(nextAttempt(1, Verdict.MAY_HAVE_RUN, false, 1_000), is(Either.left(Reason.LINK_LOST)));
    }

    @Test
    void stopsWhenTimeOrAttemptsRunOut() {
        assertThat(nextAttempt(1, Verdict.NOT_RUN, true, 4), is(Either.left(Reason.LINK_LOST)));
        assertThat(nextAttempt(3, Verdict.NOT_RUN, true, 1_000), is(Either.left(Reason.LINK_LOST)));
    }

    @Property(seed = "20261204", tries = 50)
    void retriesStayWithinTheirShareOfFirstAttempts(@ForAll @IntRange(min = 1, max = 5_000) int requests) {
        RetryBudget tested = new RetryBudget(0.1, 10);
        long retries = IntStream.range(0, requests)
                .filter(request -> {
                    tested.recordFirstAttempt();
                    return tested.tryAcquireRetry();
                })
                .count();

        assertThat(retries, lessThanOrEqualTo(10 + requests / 10L + 1));
    }

    private Either<Reason, Integer> nextAttempt(int attempt, Verdict verdict, boolean idempotent, long timeLeftMillis) {
        return policy.nextAttempt(
                new RetryPolicy.FailedAttempt(attempt, verdict, Reason.LINK_LOST), idempotent, timeLeftMillis, budget);
    }
}
