package org.sardineshunt.engine.http;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.memory.MemoryBudget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class BodyPipeTest {
    private final MemoryBudget memory = new MemoryBudget(2L * BodyPipe.WINDOW_BYTES, (kind, bytes, idleMillis) -> {});
    private final List<String> events = new ArrayList<>();
    private final BodyPipe pipe = new BodyPipe(memory, new BodyPipe.Source() {
        @Override
        public void consumed(int bytes) {
            events.add("consumed " + bytes);
        }

        @Override
        public void cancelled() {
            events.add("cancelled");
        }
    });

    @Test
    void hasNoRoomWhileTheWindowIsFull() {
        pipe.write(new byte[BodyPipe.WINDOW_BYTES]);
        assertThat(pipe.hasRoom(), is(false));
        pipe.read();
        assertThat(pipe.hasRoom(), is(true));
        assertThat(events, contains("consumed " + BodyPipe.WINDOW_BYTES));
        assertThat(memory.reservedBytes(), is(0L));
    }

    @Test
    void endsOnceTheLastPartWasRead() {
        pipe.write(new byte[1]);
        pipe.end();
        assertThat(pipe.isReadToEnd(), is(false));
        pipe.read();
        assertThat(pipe.isReadToEnd(), is(true));
    }

    /** Guards against a home that refuses an attempt and so keeps another home from getting the whole body. */
    @Test
    void keepsAnUntouchedBodyForAnotherSink() {
        pipe.write(new byte[3]);
        pipe.attach(() -> {});
        pipe.detach();
        assertThat(pipe.isTouched(), is(false));
        pipe.attach(() -> {});
        assertThat(pipe.read().length, is(3));
        assertThat(pipe.isTouched(), is(true));
    }

    /** Guards against a truncated body that looks complete. */
    @Test
    void neverEndsAfterAFailure() {
        pipe.write(new byte[3]);
        pipe.fail("interrupted");
        pipe.end();
        assertThat(pipe.read(), nullValue());
        assertThat(pipe.isReadToEnd(), is(false));
        assertThat(pipe.isComplete(), is(false));
        assertThat(memory.reservedBytes(), is(0L));
    }

    @Test
    void failsIfItsMemoryIsNeededForOthers() {
        pipe.write(new byte[BodyPipe.WINDOW_BYTES]);
        long later = System.nanoTime() / 1_000_000 + 60_000;
        memory.open(MemoryBudget.Kind.REQUEST, later, () -> {}).tryReserve(later, BodyPipe.WINDOW_BYTES);
        assertThat(pipe.failure(), containsString("memory"));
    }

    @Test
    void tellsTheSourceThatTheSinkNeedsNoMore() {
        pipe.write(new byte[3]);
        pipe.cancel();
        pipe.write(new byte[3]);
        assertThat(events, contains("cancelled"));
        assertThat(pipe.hasRoom(), is(true));
        assertThat(memory.reservedBytes(), is(0L));
    }
}
