package org.sardineshunt.engine.peer;

import java.util.concurrent.Executor;
import java.util.function.Consumer;

import org.sardineshunt.engine.http.BodyPipe;
import org.sardineshunt.engine.protocol.EngineMessages.BodyCredit;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;

/** The other node as the source of a streamed body: it gets credit for what the sink here has read. Thread-safe. */
final class CreditSource implements BodyPipe.Source {
    // Less is not worth a frame.
    private static final int MINIMUM_CREDIT_BYTES = BodyPipe.WINDOW_BYTES / 4;

    private final long correlation;
    private final Consumer<Frame> send;
    private final Executor control;
    private final Runnable onCancelled;
    private boolean attached;
    private int unsentCredit;

    /**
     * Creates a source that has no credit yet.
     *
     * @param correlation correlation number of the attempt
     * @param send sends a frame, on the control thread
     * @param onCancelled called on the control thread when the sink needs no more of the body
     */
    CreditSource(long correlation, Consumer<Frame> send, Executor control, Runnable onCancelled) {
        this.correlation = correlation;
        this.send = send;
        this.control = control;
        this.onCancelled = onCancelled;
    }

    @Override
    public synchronized void attached() {
        if (!attached) {
            attached = true;
            sendCredit(BodyPipe.WINDOW_BYTES);
        }
    }

    @Override
    public synchronized void consumed(int bytes) {
        unsentCredit += bytes;
        if (unsentCredit >= MINIMUM_CREDIT_BYTES) {
            sendCredit(unsentCredit);
            unsentCredit = 0;
        }
    }

    @Override
    public void cancelled() {
        control.execute(onCancelled);
    }

    private void sendCredit(int bytes) {
        Frame frame = Frame.newBuilder()
                .setCorrelation(correlation)
                .setBodyCredit(BodyCredit.newBuilder().setBytes(bytes))
                .build();
        control.execute(() -> send.accept(frame));
    }
}
