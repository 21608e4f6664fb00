package org.sardineshunt.engine.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.membership.SilenceDetector;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.engine.AttemptStreams;
import org.sardineshunt.engine.http.BodyPipe;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Cancel;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.Hello;
import org.sardineshunt.engine.protocol.EngineMessages.Ping;

/**
 * The client side of a connection to a peer. Confined to the control thread.
 *
 * <p>While calls are pending and no frame arrives, the link sends pings; if it stays silent it is closed and the calls
 * fail. After a pause of this process the silence starts again, because frames that arrived meanwhile are read only
 * after the timers that fell due.
 */
final class PeerLink implements FrameChannel.Listener {
    private static final long PING_AFTER_SILENCE_MILLIS = 300;
    private static final long MAXIMUM_SILENCE_MILLIS = 900;

    private final PeerAddress address;
    private final Hello ownHello;
    private final TimerService timers;
    private final MemoryBudget memory;
    private final Listener listener;
    private final SilenceDetector silence;
    private final Map<Long, PendingCall> pendingCalls = new HashMap<>();
    private final List<Frame> queuedFrames = new ArrayList<>();
    private FrameChannel channel;
    private boolean closed;
    private boolean silenceCheckScheduled;
    private long incarnation;
    private long lastCorrelation;

    PeerLink(PeerAddress address, Hello ownHello, TimerService timers, MemoryBudget memory, Listener listener) {
        this.address = address;
        this.ownHello = ownHello;
        this.timers = timers;
        this.memory = memory;
        this.listener = listener;
        silence = new SilenceDetector(MAXIMUM_SILENCE_MILLIS, PING_AFTER_SILENCE_MILLIS, timers.nowMillis());
    }

    PeerAddress address() {
        return address;
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * Sends a call, once the connection is open.
     *
     * @param onResult called once, unless the call is cancelled
     * @return an action that cancels the call, here and at the peer
     */
    Runnable call(Frame.Builder message, Consumer<Either<PeerFailure, Answer>> onResult) {
        return call(message, AttemptStreams.NONE, onResult);
    }

    /** Sends a call whose request or response may be streamed. */
    Runnable call(Frame.Builder message, AttemptStreams streams, Consumer<Either<PeerFailure, Answer>> onResult) {
        long correlation = ++lastCorrelation;
        if (pendingCalls.isEmpty()) {
            silence.restart(timers.nowMillis());
        }
        PendingCall call = new PendingCall(streams, onResult, channel != null);
        pendingCalls.put(correlation, call);
        if (send(message.setCorrelation(correlation).build())) {
            streams.requestBody().ifPresent(body -> call.startBody(createSender(correlation, body.pipe())));
        } else {
            failUnsent(correlation);
        }
        scheduleSilenceCheck();
        return () -> cancel(correlation);
    }

    /**
     * Sends a frame, once the connection is open; dropped if the link is closed. Returns false if it is not sent because
     * memory is short.
     */
    boolean send(Frame frame) {
        if (closed) {
            return true;
        }
        if (channel == null) {
            queuedFrames.add(frame);
            return true;
        }
        return channel.send(frame);
    }

    void close(String cause) {
        if (closed) {
            return;
        }
        closed = true;
        if (channel != null) {
            channel.close();
        }
        listener.closed(this, cause);
        List<PendingCall> failedCalls = List.copyOf(pendingCalls.values());
        pendingCalls.clear();
        failedCalls.forEach(call -> call.fail(incarnation, cause));
    }

    @Override
    public void opened(FrameChannel openedChannel) {
        if (closed) {
            openedChannel.close();
            return;
        }
        channel = openedChannel;
        silence.recordReceived(timers.nowMillis());
        channel.send(Frame.newBuilder().setHello(ownHello).build());
        List<Frame> frames = List.copyOf(queuedFrames);
        queuedFrames.clear();
        pendingCalls.values().forEach(PendingCall::markSent);
        frames.stream().filter(frame -> !channel.send(frame)).forEach(frame -> failUnsent(frame.getCorrelation()));
    }

    @Override
    public void received(FrameChannel source, Frame frame) {
        silence.recordReceived(timers.nowMillis());
        if (frame.hasHello()) {
            incarnation = frame.getHello().getIncarnation();
            listener.helloReceived(this, frame.getHello().getNodeId());
        } else if (frame.hasAnswer()) {
            Optional<String> fault = AnswerValidator.findFault(frame.getAnswer());
            if (fault.isPresent()) {
                close("invalid answer of node '" + address.nodeId() + "': " + fault.get());
                return;
            }
            PendingCall call = pendingCalls.remove(frame.getCorrelation());
            if (call != null) {
                call.complete(frame.getAnswer());
            }
        } else {
            Optional.ofNullable(pendingCalls.get(frame.getCorrelation()))
                    .ifPresent(call -> receiveStreamFrame(call, frame));
        }
    }

    private void receiveStreamFrame(PendingCall call, Frame frame) {
        long correlation = frame.getCorrelation();
        if (frame.hasAnswerHead()) {
            Optional<String> fault = AnswerValidator.findFault(frame.getAnswerHead());
            if (fault.isPresent()) {
                close("invalid answer of node '" + address.nodeId() + "': " + fault.get());
                return;
            }
            CreditSource source = new CreditSource(correlation, this::send, this::runSoon, () -> cancel(correlation));
            call.startResponse(frame.getAnswerHead(), new BodyPipe(memory, source));
        } else if (frame.hasBodyChunk()) {
            call.receiveChunk(frame.getBodyChunk());
        } else if (frame.hasBodyCredit()) {
            call.addCredit(frame.getBodyCredit().getBytes());
        }
    }

    private FrameBodySender createSender(long correlation, BodyPipe pipe) {
        return new FrameBodySender(pipe, correlation, this::send, this::runSoon, end -> {
            PendingCall call = end == FrameBodySender.End.SENT ? null : pendingCalls.remove(correlation);
            if (call != null) {
                sendCancel(correlation);
                call.failBody(end);
            }
        });
    }

    private void runSoon(Runnable action) {
        timers.after(0, action);
    }

    @Override
    public void closed(FrameChannel source, String cause) {
        close(cause);
    }

    // Fails a call on the next turn, because its caller may not expect a result before it has the cancelling action.
    private void failUnsent(long correlation) {
        timers.after(0, () -> {
            PendingCall call = pendingCalls.remove(correlation);
            if (call != null) {
                call.failUnsent(incarnation, "memory is short");
            }
        });
    }

    private void cancel(long correlation) {
        PendingCall call = pendingCalls.remove(correlation);
        if (call != null) {
            call.abandon("cancelled");
            sendCancel(correlation);
        }
    }

    private void sendCancel(long correlation) {
        send(Frame.newBuilder()
                .setCorrelation(correlation)
                .setCancel(Cancel.getDefaultInstance())
                .build());
    }

    private void scheduleSilenceCheck() {
        if (!silenceCheckScheduled) {
            silenceCheckScheduled = true;
            timers.after(PING_AFTER_SILENCE_MILLIS, this::checkSilence);
        }
    }

    private void checkSilence() {
        silenceCheckScheduled = false;
        if (closed || pendingCalls.isEmpty()) {
            return;
        }
        long now = timers.nowMillis();
        boolean silent = silence.checkSilent(now);
        long silentMillis = silence.silentMillis(now);
        if (silent) {
            close("nothing received from node '" + address.nodeId() + "' for " + silentMillis + " ms");
            return;
        }
        if (silentMillis >= PING_AFTER_SILENCE_MILLIS) {
            send(Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
        }
        scheduleSilenceCheck();
    }

    /** Receives the events of a link on the control thread. */
    interface Listener {
        /** Called when a node has sent its hello; it may be another node that has taken over the address. */
        void helloReceived(PeerLink link, String nodeId);

        /** Called once, when the link has closed. */
        void closed(PeerLink link, String cause);
    }
}
