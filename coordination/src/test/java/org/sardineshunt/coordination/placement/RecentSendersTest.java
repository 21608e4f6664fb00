package org.sardineshunt.coordination.placement;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RecentSendersTest {
    @Test
    void returnsOnlyNodesThatSentWorkRecently() {
        RecentSenders senders = new RecentSenders();
        senders.recordSender(0, "old");
        senders.recordSender(9_000, "new");

        assertThat(senders.nodes(11_000), is(List.of("new")));
    }
}
