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

/** Pool of one shared link per node: opened on first use, replaced after a failure or silence timeout. Thread-safe. */
public final class PeerLinks implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final EventLoopGroup eventLoops;
    private final Hello ownHello;
    private final int maximumFrameBytes;
    private final long silenceLimitMillis;
    private final FrameFilter filter;
    private final LinkTraffic traffic;
    private final Map<Endpoint, PeerLink> links = new ConcurrentHashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param ownHello first frame sent on each link
     * @param maximumFrameBytes longest accepted frame, without its length prefix
     * @param silenceLimitMillis time without a received frame after which a link is closed
     */
    public PeerLinks(
            EventLoopGroup eventLoops,
            Hello ownHello,
            int maximumFrameBytes,
            long silenceLimitMillis,
            FrameFilter filter,
            LinkTraffic traffic) {
        this.eventLoops = eventLoops;
        this.ownHello = ownHello;
        this.maximumFrameBytes = maximumFrameBytes;
        this.silenceLimitMillis = silenceLimitMillis;
        this.filter = filter;
        this.traffic = traffic;
    }

    /**
     * Calls a node over the shared link.
     *
     * @param remoteNodeId the node, or an empty text for a seed whose id isn't known
     * @return the reply; fails with a {@link LinkFailure}, which may be wrapped in a CompletionException
     */
    CompletableFuture<PeerLink.Reply> call(
            String remoteNodeId, Endpoint endpoint, Envelope message, long timeoutMillis) {
        PeerLink link = links.compute(
                endpoint, (key, known) -> known != null && isUsable(known) ? known : open(remoteNodeId, endpoint));
        return callWhenReady(link, endpoint, message, timeoutMillis);
    }

    /** Returns the number of open links. */
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
                        PeerFraming.install(channel.pipeline(), maximumFrameBytes);
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
        if (link.ready().completeExceptionally(notSent("no hello frame from " + endpoint))) {
            link.close();
        }
    }

    private static LinkFailure notSent(String message) {
        return new LinkFailure(Kind.NOT_SENT, 0, message);
    }
}
