package org.sardineshunt.engine.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Cancel;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.Hello;
import org.sardineshunt.engine.protocol.EngineMessages.Ping;

/**
 * The calling end of one connection to a peer. Belongs to the control thread.
 *
 * <p>While calls wait and nothing arrives, the link is pinged; one that stays silent is closed and its calls fail.
 */
final class PeerLink implements FrameChannel.Listener {
    private static final long PING_AFTER_MILLIS = 300;
    private static final long SILENCE_LIMIT_MILLIS = 900;

    private final PeerAddress address;
    private final Hello ownHello;
    private final TimerService timers;
    private final Listener listener;
    private final Map<Long, Call> calls = new HashMap<>();
    private final List<Frame> unsent = new ArrayList<>();
    private FrameChannel frames;
    private boolean closed;
    private boolean watching;
    private long incarnation;
    private long lastCorrelation;
    private long lastReceivedMillis;

    PeerLink(PeerAddress address, Hello ownHello, TimerService timers, Listener listener) {
        this.address = address;
        this.ownHello = ownHello;
        this.timers = timers;
        this.listener = listener;
        lastReceivedMillis = timers.nowMillis();
    }

    PeerAddress address() {
        return address;
    }

    boolean isClosed() {
        return closed;
    }

    /** Sends a call and returns an action that cancels it at the peer. */
    Runnable call(Frame.Builder message, Consumer<Either<PeerFailure, Answer>> onResult) {
        long correlation = ++lastCorrelation;
        if (calls.isEmpty()) {
            lastReceivedMillis = timers.nowMillis();
        }
        calls.put(correlation, new Call(onResult, frames != null));
        send(message.setCorrelation(correlation).build());
        watch();
        return () -> cancel(correlation);
    }

    /** Sends a frame that has no reply. */
    void send(Frame frame) {
        if (closed) {
            return;
        }
        if (frames == null) {
            unsent.add(frame);
        } else {
            frames.send(frame);
        }
    }

    void close(String cause) {
        if (closed) {
            return;
        }
        closed = true;
        if (frames != null) {
            frames.close();
        }
        listener.closed(this, cause);
        List<Call> failed = List.copyOf(calls.values());
        calls.clear();
        failed.forEach(call -> call.onResult().accept(Either.left(new PeerFailure(call.sent(), incarnation, cause))));
    }

    @Override
    public void opened(FrameChannel opened) {
        if (closed) {
            opened.close();
            return;
        }
        frames = opened;
        lastReceivedMillis = timers.nowMillis();
        frames.send(Frame.newBuilder().setHello(ownHello).build());
        unsent.forEach(frames::send);
        unsent.clear();
        calls.replaceAll((correlation, call) -> new Call(call.onResult(), true));
    }

    @Override
    public void received(FrameChannel from, Frame frame) {
        lastReceivedMillis = timers.nowMillis();
        if (frame.hasHello()) {
            incarnation = frame.getHello().getIncarnation();
            listener.answered(this, frame.getHello().getNodeId());
        } else if (frame.hasAnswer()) {
            Call call = calls.remove(frame.getCorrelation());
            if (call != null) {
                call.onResult().accept(Either.right(frame.getAnswer()));
            }
        }
    }

    @Override
    public void closed(FrameChannel from, String cause) {
        close(cause);
    }

    private void cancel(long correlation) {
        if (calls.remove(correlation) != null) {
            send(Frame.newBuilder()
                    .setCorrelation(correlation)
                    .setCancel(Cancel.getDefaultInstance())
                    .build());
        }
    }

    private void watch() {
        if (!watching) {
            watching = true;
            timers.after(PING_AFTER_MILLIS, this::checkSilence);
        }
    }

    private void checkSilence() {
        watching = false;
        if (closed || calls.isEmpty()) {
            return;
        }
        long silentMillis = timers.nowMillis() - lastReceivedMillis;
        if (silentMillis >= SILENCE_LIMIT_MILLIS) {
            close("no sign of node '" + address.nodeId() + "' for " + silentMillis + " ms");
            return;
        }
        if (silentMillis >= PING_AFTER_MILLIS) {
            send(Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
        }
        watch();
    }

    /** Takes the events of a link on the control thread. */
    interface Listener {
        /** A node has answered over the link; another one than was meant if it has the address now. */
        void answered(PeerLink link, String nodeId);

        /** The link ended; told once. */
        void closed(PeerLink link, String cause);
    }

    private record Call(Consumer<Either<PeerFailure, Answer>> onResult, boolean sent) {}
}
