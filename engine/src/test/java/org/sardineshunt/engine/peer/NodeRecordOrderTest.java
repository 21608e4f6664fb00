package org.sardineshunt.engine.peer;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class NodeRecordOrderTest {
    private final NodeRecordOrder order = new NodeRecordOrder();

    /** A delayed row must not undo what the node has sent since. */
    @Test
    void ignoresARowThatIsOlderThanTheRecordSent() {
        assertThat(order.acceptSent("a", 100, 2), is(true));
        assertThat(order.acceptStored("a", 100, 1), is(false));
        assertThat(order.acceptStored("a", 100, 2), is(true));
        assertThat(order.acceptStored("a", 100, 3), is(true));
    }

    /** A record that a slow link delivers late must not undo a newer row. */
    @Test
    void ignoresASentRecordThatIsNotNewerThanTheRow() {
        assertThat(order.acceptStored("a", 100, 3), is(true));
        assertThat(order.acceptSent("a", 100, 3), is(false));
        assertThat(order.acceptSent("a", 100, 2), is(false));
        assertThat(order.acceptSent("a", 100, 4), is(true));
    }

    /** A node whose clock was set back restarts with an earlier start time, which must not hide the new process. */
    @Test
    void acceptsAnEarlierStartTimeButNoProcessThatHasEnded() {
        assertThat(order.acceptSent("a", 100, 5), is(true));
        assertThat(order.acceptSent("a", 90, 1), is(true));
        assertThat(order.acceptStored("a", 100, 6), is(false));
        assertThat(order.acceptSent("a", 100, 7), is(false));
        assertThat(order.acceptStored("a", 90, 1), is(true));
    }

    /**
     * A node that restarts together with this one sends its record before the table has it. The row of its earlier process
     * must not make the running one count as over, which would hide all its later records.
     */
    @Test
    void ignoresTheRowOfAnEarlierProcessThatWasNotKnown() {
        assertThat(order.acceptSent("a", 200, 1), is(true));
        assertThat(order.acceptStored("a", 100, 7), is(false));
        assertThat(order.acceptSent("a", 200, 2), is(true));
        assertThat(order.acceptStored("a", 200, 2), is(true));
    }

    /** The row of a restarted node must count although its clock was set back, once the table has shown the process before. */
    @Test
    void acceptsTheRowOfALaterProcessWithAnEarlierStartTime() {
        assertThat(order.acceptSent("a", 100, 2), is(true));
        assertThat(order.acceptStored("a", 100, 1), is(false));
        assertThat(order.acceptStored("a", 90, 1), is(true));
    }

    /** A process that crashed before its row was stored must not hide the rows of the next one. */
    @Test
    void acceptsTheRowOfALaterProcessAlthoughTheOneBeforeStoredNone() {
        assertThat(order.acceptSent("a", 100, 1), is(true));
        assertThat(order.acceptStored("a", 101, 1), is(true));
    }

    /** Nodes of the build before send no records, and their rows have no sequence. */
    @Test
    void acceptsEachRowOfANodeWithoutSequences() {
        assertThat(order.acceptStored("a", 100, 0), is(true));
        assertThat(order.acceptStored("a", 100, 0), is(true));
        assertThat(order.acceptStored("a", 101, 0), is(true));
    }

    /** A node that has left and joins again starts anew. */
    @Test
    void forgetsANodeWhoseRowWasRemoved() {
        assertThat(order.acceptSent("a", 100, 5), is(true));
        order.forget("a");
        assertThat(order.acceptStored("a", 100, 1), is(true));
    }
}
