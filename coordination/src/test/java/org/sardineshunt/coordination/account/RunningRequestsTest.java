package org.sardineshunt.coordination.account;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RunningRequestsTest {
    private final RunningRequests requests = new RunningRequests();

    /** Without a maximum, the ID of one long request would replace a key. */
    @Test
    void allowsThirtyTwoCallsForOneRequest() {
        requests.start("parent", 1, "shop");
        long accepted = IntStream.range(0, 100)
                .filter(call -> requests.tryAcquireCall("parent"))
                .count();
        assertThat(accepted, is(32L));
    }

    @Test
    void allowsNoCallForARequestThatHasEnded() {
        requests.start("parent", 1, "shop");
        requests.finish("parent");
        assertThat(requests.tryAcquireCall("parent"), is(false));
        assertThat(requests.find("parent").isEmpty(), is(true));
    }

    /** Two attempts of one request may run at once; the end of one must not refuse the calls of the other. */
    @Test
    void keepsARequestUntilItsLastRunHasEnded() {
        requests.start("parent", 1, "shop");
        requests.start("parent", 1, "shop");
        requests.finish("parent");
        assertThat(requests.tryAcquireCall("parent"), is(true));
    }
}
