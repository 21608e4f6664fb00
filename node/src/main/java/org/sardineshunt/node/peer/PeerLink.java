package org.sardineshunt.node.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.sardineshunt.coordination.membership.SilenceDetector;
import org.sardineshunt.node.peer.LinkFailure.Kind;
import org.sardineshunt.protocol.PeerFraming;
import org.sardineshunt.protocol.PeerMessages.Envelope;
import org.sardineshunt.protocol.PeerMessages.Heartbeat;
import org.sardineshunt.protocol.PeerMessages.Hello;

/**
 * Client side of a TCP connection to another node. State is confined to the event loop of the connection.
 *
 * <p>The server side echoes heartbeats. A link that receives nothing for the silence limit is closed, and its calls
 * fail as {@link Kind#LOST}; a link without calls is closed after the idle limit.
 */
final class PeerLink extends SimpleChannelInboundHandler<Envelope> {
    private static final long IDLE_LIMIT_MILLIS = 30_000;
    private static final int HEARTBEATS_PER_SILENCE_LIMIT = 3;

    private final String remoteNodeId;
    private final Hello ownHello;
    private final long silenceLimitMillis;
    private final FrameFilter filter;
    private final LinkTraffic traffic;
    private final Map<Long, CompletableFuture<Reply>> calls = new HashMap<>();
    private final CompletableFuture<PeerLink> ready = new CompletableFuture<>();
    private Channel channel;
    private long incarnation;
    private long lastCorrelation;
    private SilenceDetector silence;
    private long lastCallNanos;

    PeerLink(String remoteNodeId, Hello ownHello, long silenceLimitMillis, FrameFilter filter, LinkTraffic traffic) {
        this.remoteNodeId = remoteNodeId;
        this.ownHello = ownHello;
        this.silenceLimitMillis = silenceLimitMillis;
        this.filter = filter;
        this.traffic = traffic;
    }

    /** Completes when the hello frame of the other node has arrived; fails with a {@link LinkFailure}. */
    CompletableFuture<PeerLink> ready() {
        return ready;
    }

    boolean isOpen() {
        return channel != null && channel.isActive();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Sends a call; fails with a {@link LinkFailure}. May be used from any thread once the link is ready. */
    CompletableFuture<Reply> call(Envelope message, long timeoutMillis) {
        CompletableFuture<Reply> result = new CompletableFuture<>();
        channel.eventLoop().execute(() -> send(message, timeoutMillis, result));
        return result;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastCallNanos = System.nanoTime();
        write(Envelope.newBuilder().setHello(ownHello).build());
        long period = Math.max(1, silenceLimitMillis / HEARTBEATS_PER_SILENCE_LIMIT);
        silence = new SilenceDetector(silenceLimitMillis, period, millis(lastCallNanos));
        channel.eventLoop().scheduleWithFixedDelay(this::checkLiveness, period, period, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        silence.recordReceived(millis(System.nanoTime()));
        if (envelope.hasHello()) {
            acceptHello(envelope.getHello());
        } else if (!envelope.hasHeartbeat()) {
            CompletableFuture<Reply> call = calls.remove(envelope.getCorrelation());
            if (call != null) {
                call.complete(new Reply(envelope, incarnation));
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        failAllCalls("link to node '" + remoteNodeId + "' closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failAllCalls("link to node '" + remoteNodeId + "' failed: " + cause.getMessage());
        context.close();
    }

    private void acceptHello(Hello hello) {
        boolean expected = remoteNodeId.isEmpty() || remoteNodeId.equals(hello.getNodeId());
        if (hello.getProtocolVersion() != PeerFraming.PROTOCOL_VERSION || !expected) {
            failAllCalls("node '" + remoteNodeId + "' answered as '" + hello.getNodeId() + "' with protocol version "
                    + hello.getProtocolVersion());
            channel.close();
            return;
        }
        incarnation = hello.getIncarnation();
        ready.complete(this);
    }

    private void send(Envelope message, long timeoutMillis, CompletableFuture<Reply> result) {
        if (!channel.isActive()) {
            result.completeExceptionally(
                    new LinkFailure(Kind.NOT_SENT, 0, "link to node '" + remoteNodeId + "' is closed"));
            return;
        }
        long correlation = ++lastCorrelation;
        lastCallNanos = System.nanoTime();
        calls.put(correlation, result);
        write(message.toBuilder().setCorrelation(correlation).build());
        channel.eventLoop().schedule(() -> timeOutCall(correlation), timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void timeOutCall(long correlation) {
        CompletableFuture<Reply> call = calls.remove(correlation);
        if (call != null) {
            call.completeExceptionally(new LinkFailure(
                    Kind.TIMED_OUT, incarnation, "no reply from node '" + remoteNodeId + "' within the timeout"));
        }
    }

    private void checkLiveness() {
        if (!channel.isActive()) {
            return;
        }
        long now = System.nanoTime();
        boolean silent = silence.checkSilent(millis(now));
        boolean idle = calls.isEmpty() && now - lastCallNanos > IDLE_LIMIT_MILLIS * 1_000_000;
        if (silent || idle) {
            channel.close();
            return;
        }
        write(Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build());
    }

    private static long millis(long nanos) {
        return nanos / 1_000_000;
    }

    private void write(Envelope envelope) {
        if (filter.passes(remoteNodeId)) {
            traffic.recordSent(envelope);
            channel.writeAndFlush(envelope);
        }
    }

    private void failAllCalls(String message) {
        ready.completeExceptionally(new LinkFailure(Kind.NOT_SENT, 0, message));
        Map<Long, CompletableFuture<Reply>> failed = Map.copyOf(calls);
        calls.clear();
        failed.values().forEach(call -> call.completeExceptionally(new LinkFailure(Kind.LOST, incarnation, message)));
    }

    /**
     * A reply with the incarnation of its sender.
     *
     * @param envelope the reply
     * @param incarnation the sender's incarnation
     */
    record Reply(Envelope envelope, long incarnation) {}
}
