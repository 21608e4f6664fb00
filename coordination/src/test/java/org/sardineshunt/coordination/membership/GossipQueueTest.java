package org.sardineshunt.coordination.membership;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class GossipQueueTest {
    private final GossipQueue<String> queue = new GossipQueue<>(2);

    @Test
    void updateIsSentALogarithmicNumberOfTimes() {
        queue.add("a", "update");

        queue.take(5, 99);
        queue.take(5, 99);
        queue.take(5, 99);
        assertThat(queue.size(), is(1));
        queue.take(5, 99);

        assertThat(queue.size(), is(0));
    }

    @Test
    void updateWithFewestTransmissionsGoesFirst() {
        queue.add("a", "old");
        queue.take(1, 99);
        queue.add("b", "new");

        assertThat(queue.take(1, 99), contains("new"));
    }

    @Test
    void newerUpdateReplacesOlderOne() {
        queue.add("a", "old");
        queue.add("a", "new");

        assertThat(queue.take(5, 99), contains("new"));
    }
}
