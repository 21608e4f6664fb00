package org.sardineshunt.engine.peer;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.engine.http.BodyPipe;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class FrameBodySenderTest {
    private static final int PART_BYTES = 64 << 10;

    private final List<Frame> sent = new ArrayList<>();
    private final List<FrameBodySender.End> ends = new ArrayList<>();
    private final List<Frame> credits = new ArrayList<>();
    private boolean memoryShort;

    // The receiver: what arrives there gets credit once its sink reads it.
    private final CreditSource creditSource = new CreditSource(7, credits::add, Runnable::run, () -> {});
    private final BodyPipe received = new BodyPipe(MemoryBudget.unlimited(), creditSource);
    private final BodyPipe pipe = new BodyPipe(MemoryBudget.unlimited(), new BodyPipe.Source() {
        @Override
        public void consumed(int bytes) {}

        @Override
        public void cancelled() {}
    });
    private final FrameBodySender sender = new FrameBodySender(pipe, 7, this::send, Runnable::run, ends::add);

    /** Guards against a home that gets more than the first part of a body before it has started the attempt. */
    @Test
    void sendsNothingWithoutCredit() {
        writeParts(3);
        sender.start();
        assertThat(sent, empty());
        assertThat(pipe.isTouched(), is(false));
    }

    @Test
    void sendsNoMoreThanTheWindowAheadOfTheReceiver() {
        writeParts(32);
        sender.start();
        received.attach(() -> {});
        deliverCredits();
        assertThat(sentBytes(), is((long) BodyPipe.WINDOW_BYTES));
        assertThat(ends, empty());
    }

    @Test
    void sendsTheWholeBodyWhileTheReceiverReads() {
        writeParts(32);
        pipe.end();
        sender.start();
        received.attach(() -> {});
        int delivered = 0;
        while (ends.isEmpty()) {
            deliverCredits();
            for (; delivered < sent.size(); delivered++) {
                received.write(sent.get(delivered).getBodyChunk().getData().toByteArray());
            }
            long readBytes = 0;
            for (byte[] part = received.read(); part != null; part = received.read()) {
                readBytes += part.length;
            }
            assertThat(readBytes, lessThanOrEqualTo((long) BodyPipe.WINDOW_BYTES));
        }
        assertThat(sentBytes(), is(32L * PART_BYTES));
        assertThat(ends, contains(FrameBodySender.End.SENT));
        assertThat(sent.get(sent.size() - 1).getBodyChunk().getLast(), is(true));
    }

    @Test
    void reportsABodyThatFails() {
        writeParts(1);
        sender.start();
        pipe.fail("interrupted");
        assertThat(ends, contains(FrameBodySender.End.BODY_FAILED));
        assertThat(sent, hasSize(0));
    }

    @Test
    void stopsIfTheMemoryForFramesIsShort() {
        memoryShort = true;
        writeParts(3);
        sender.start();
        sender.addCredit(BodyPipe.WINDOW_BYTES);
        assertThat(ends, contains(FrameBodySender.End.MEMORY_SHORT));
        assertThat(pipe.isCancelled(), is(true));
    }

    private boolean send(Frame frame) {
        if (!memoryShort) {
            sent.add(frame);
        }
        return !memoryShort;
    }

    private void writeParts(int count) {
        for (int part = 0; part < count; part++) {
            pipe.write(new byte[PART_BYTES]);
        }
    }

    private void deliverCredits() {
        List<Frame> delivered = List.copyOf(credits);
        credits.clear();
        delivered.forEach(credit -> sender.addCredit(credit.getBodyCredit().getBytes()));
    }

    private long sentBytes() {
        return sent.stream()
                .mapToLong(frame -> frame.getBodyChunk().getData().size())
                .sum();
    }
}
