package org.sardineshunt.engine.peer;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.sardineshunt.engine.BodyBytes;
import org.sardineshunt.engine.http.BodyPipe;
import org.sardineshunt.engine.protocol.EngineMessages.BodyChunk;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;

/** Sends a streamed body over a link as far as its receiver has given credit. Confined to the control thread. */
final class FrameBodySender {
    private final BodyPipe pipe;
    private final long correlation;
    private final Predicate<Frame> send;
    private final Executor control;
    private final Consumer<End> onEnd;
    private final AtomicBoolean sendScheduled = new AtomicBoolean();
    private long credit;
    private boolean ended;

    /**
     * Creates a sender that has no credit yet.
     *
     * @param correlation correlation number of the attempt
     * @param send sends a frame; returns false if it is not sent because memory is short
     * @param onEnd called once when the body was sent or has failed, unless the sender is stopped
     */
    FrameBodySender(BodyPipe pipe, long correlation, Predicate<Frame> send, Executor control, Consumer<End> onEnd) {
        this.pipe = pipe;
        this.correlation = correlation;
        this.send = send;
        this.control = control;
        this.onEnd = onEnd;
    }

    void start() {
        pipe.attach(this::scheduleSend);
    }

    /** Returns whether the body was sent, has failed or was stopped. */
    boolean hasEnded() {
        return ended;
    }

    /** Allows so many more bytes. */
    void addCredit(int bytes) {
        credit += bytes;
        sendAvailable();
    }

    /** Stops sending. The source is told to stop if a part of the body was sent; else it may get another sink. */
    void stop() {
        if (!ended) {
            ended = true;
            pipe.detach();
            if (pipe.isTouched()) {
                pipe.cancel();
            }
        }
    }

    private void scheduleSend() {
        if (sendScheduled.compareAndSet(false, true)) {
            control.execute(() -> {
                sendScheduled.set(false);
                sendAvailable();
            });
        }
    }

    private void sendAvailable() {
        while (!ended && credit > 0) {
            byte[] part = pipe.read();
            if (part == null) {
                break;
            }
            credit -= part.length;
            if (!sendChunk(BodyChunk.newBuilder().setData(BodyBytes.toField(part)))) {
                end(End.MEMORY_SHORT);
            }
        }
        if (!ended && pipe.failure() != null) {
            end(End.BODY_FAILED);
        } else if (!ended && pipe.isReadToEnd()) {
            sendChunk(BodyChunk.newBuilder().setLast(true));
            end(End.SENT);
        }
    }

    private boolean sendChunk(BodyChunk.Builder chunk) {
        return send.test(Frame.newBuilder()
                .setCorrelation(correlation)
                .setBodyChunk(chunk)
                .build());
    }

    private void end(End end) {
        ended = true;
        if (end != End.SENT) {
            pipe.cancel();
        }
        onEnd.accept(end);
    }

    /** How the sending of a body ended. */
    enum End {
        /** The whole body was sent. */
        SENT,
        /** The rest of the body will never arrive. */
        BODY_FAILED,
        /** The memory for unsent frames is short. */
        MEMORY_SHORT
    }
}
