package org.sardineshunt.coordination.placement;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RecentSendersTest {
    @Test
    void consistsOfNodesThatSentWorkAMomentAgo() {
        RecentSenders audience = new RecentSenders();
        audience.record(0, "old");
        audience.record(9_000, "new");

        assertThat(audience.nodes(11_000), is(List.of("new")));
    }
}
