package org.sardineshunt.coordination.limit;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class AccountLimiterTest {
    private final AccountLimiter limiter = new AccountLimiter(10, 5, 2);

    @Test
    void allowsTheBurstAndThenTheRate() {
        assertThat(countAllowed(0, "a", 10), is(5L));
        assertThat(countAllowed(1_000, "a", 20), is(5L));
        assertThat(countAllowed(1_100, "a", 20), is(1L));
    }

    @Test
    void accountsDoNotShareTokens() {
        countAllowed(0, "a", 10);

        assertThat(countAllowed(0, "b", 10), is(5L));
    }

    @Test
    void keepsOnlyTheMostRecentlyUsedAccounts() {
        IntStream.range(0, 100).forEach(number -> limiter.tryAcquire(0, "account-" + number));

        assertThat(limiter.accountCount(), is(2));
    }

    private long countAllowed(long nowMillis, String account, int requests) {
        return IntStream.range(0, requests)
                .filter(number -> limiter.tryAcquire(nowMillis, account))
                .count();
    }
}
