package org.sardineshunt.node.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.sardineshunt.coordination.membership.Member.Endpoint;
import org.sardineshunt.node.peer.LinkFailure.Kind;
import org.sardineshunt.protocol.PeerFraming;
import org.sardineshunt.protocol.PeerMessages.Envelope;
import org.sardineshunt.protocol.PeerMessages.Hello;

/** Links to other nodes: opened on use, shared by calls, replaced when they break or go silent. Thread-safe. */
public final class PeerLinks implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final EventLoopGroup eventLoops;
    private final Hello ownHello;
    private final int maxFrameBytes;
    private final long silenceLimitMillis;
    private final FrameFilter filter;
    private final LinkTraffic traffic;
    private final Map<Endpoint, PeerLink> links = new ConcurrentHashMap<>();

    /**
     * Creates links that open no connection until they are used.
     *
     * @param ownHello first frame of each link
     * @param silenceLimitMillis silence after which a link is replaced
     */
    public PeerLinks(
            EventLoopGroup eventLoops,
            Hello ownHello,
            int maxFrameBytes,
            long silenceLimitMillis,
            FrameFilter filter,
            LinkTraffic traffic) {
        this.eventLoops = eventLoops;
        this.ownHello = ownHello;
        this.maxFrameBytes = maxFrameBytes;
        this.silenceLimitMillis = silenceLimitMillis;
        this.filter = filter;
        this.traffic = traffic;
    }

    /**
     * Calls a node over the shared link.
     *
     * @param remoteNodeId the node, or an empty text for a seed whose name isn't known
     * @return the reply, or a failure with a {@link LinkFailure}
     */
    CompletableFuture<PeerLink.Reply> call(
            String remoteNodeId, Endpoint endpoint, Envelope message, long timeoutMillis) {
        PeerLink link = links.compute(
                endpoint, (key, known) -> known != null && isUsable(known) ? known : open(remoteNodeId, endpoint));
        return callWhenReady(link, endpoint, message, timeoutMillis);
    }

    /** Returns how many links are open. */
    public int openLinkCount() {
        return (int) links.values().stream().filter(PeerLink::isOpen).count();
    }

    @Override
    public void close() {
        links.values().forEach(PeerLink::close);
    }

    private static boolean isUsable(PeerLink link) {
        return !link.ready().isCompletedExceptionally() && (!link.ready().isDone() || link.isOpen());
    }

    private CompletableFuture<PeerLink.Reply> callWhenReady(
            PeerLink link, Endpoint endpoint, Envelope message, long timeoutMillis) {
        return link.ready()
                .thenCompose(ready -> ready.call(message, timeoutMillis))
                .whenComplete((reply, failure) -> {
                    if (!isUsable(link)) {
                        links.remove(endpoint, link);
                    }
                });
    }

    private PeerLink open(String remoteNodeId, Endpoint endpoint) {
        PeerLink link = new PeerLink(remoteNodeId, ownHello, silenceLimitMillis, filter, traffic);
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        PeerFraming.install(channel.pipeline(), maxFrameBytes);
                        channel.pipeline().addLast(link);
                    }
                });
        bootstrap.connect(endpoint.host(), endpoint.peerPort()).addListener(connected -> {
            if (!connected.isSuccess()) {
                link.ready().completeExceptionally(notSent(connected.cause().getMessage()));
            }
        });
        eventLoops.schedule(() -> failUnlessReady(link, endpoint), 2 * CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return link;
    }

    private static void failUnlessReady(PeerLink link, Endpoint endpoint) {
        if (link.ready().completeExceptionally(notSent("no hello from " + endpoint))) {
            link.close();
        }
    }

    private static LinkFailure notSent(String message) {
        return new LinkFailure(Kind.NOT_SENT, 0, message);
    }
}
