package org.sardineshunt.node.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.jboss.logging.Logger;
import org.sardineshunt.protocol.PeerFraming;
import org.sardineshunt.protocol.PeerMessages.Envelope;
import org.sardineshunt.protocol.PeerMessages.Hello;

/** Accepts links of other nodes. A link that violates the protocol is closed and reported; others are unaffected. */
public final class PeerServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(PeerServer.class);

    private final Hello ownHello;
    private final int maximumFrameBytes;
    private final FrameFilter filter;
    private final LinkTraffic traffic;
    private final RequestHandler handler;
    private final Consumer<String> onViolation;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel listener;

    /**
     * Creates a server that doesn't listen yet.
     *
     * @param ownHello first frame sent on each link
     * @param maximumFrameBytes longest accepted frame, without its length prefix
     * @param onViolation called on an event loop with the kind of each protocol violation
     */
    public PeerServer(
            Hello ownHello,
            int maximumFrameBytes,
            FrameFilter filter,
            LinkTraffic traffic,
            RequestHandler handler,
            Consumer<String> onViolation) {
        this.ownHello = ownHello;
        this.maximumFrameBytes = maximumFrameBytes;
        this.filter = filter;
        this.traffic = traffic;
        this.handler = handler;
        this.onViolation = onViolation;
    }

    /** Starts listening and returns the bound port; port 0 lets the system choose one. */
    public int listen(EventLoopGroup eventLoops, String host, int port) {
        listener = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channels.add(channel);
                        PeerFraming.install(channel.pipeline(), maximumFrameBytes);
                        channel.pipeline().addLast(new Connection());
                    }
                })
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.close().awaitUninterruptibly();
        }
        channels.close().awaitUninterruptibly();
    }

    /** Handles requests of other nodes; called on the event loop of the link. */
    @FunctionalInterface
    public interface RequestHandler {
        /** Returns the reply to a request; the server sets its correlation number. */
        CompletionStage<Envelope.Builder> handle(String remoteNodeId, Envelope request);
    }

    private final class Connection extends SimpleChannelInboundHandler<Envelope> {
        private String remoteNodeId;

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
            if (envelope.hasHello()) {
                acceptHello(context, envelope.getHello());
            } else if (remoteNodeId == null) {
                closeForViolation(context, "no-hello");
            } else if (envelope.hasHeartbeat()) {
                write(context, envelope);
            } else {
                handler.handle(remoteNodeId, envelope)
                        .thenAccept(reply -> write(
                                context,
                                reply.setCorrelation(envelope.getCorrelation()).build()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof io.netty.handler.codec.DecoderException) {
                closeForViolation(
                        context,
                        cause instanceof io.netty.handler.codec.TooLongFrameException
                                ? "frame-too-long"
                                : "undecodable");
            } else {
                LOG.debugf("link of node '%s' failed: %s", remoteNodeId, cause.getMessage());
                context.close();
            }
        }

        private void acceptHello(ChannelHandlerContext context, Hello hello) {
            if (hello.getProtocolVersion() != PeerFraming.PROTOCOL_VERSION) {
                write(context, Envelope.newBuilder().setHello(ownHello).build());
                closeForViolation(context, "protocol-version");
                return;
            }
            remoteNodeId = hello.getNodeId();
            write(context, Envelope.newBuilder().setHello(ownHello).build());
        }

        private void closeForViolation(ChannelHandlerContext context, String kind) {
            LOG.warnf(
                    "closing the peer link from %s: protocol violation %s",
                    context.channel().remoteAddress(), kind);
            onViolation.accept(kind);
            context.close();
        }

        private void write(ChannelHandlerContext context, Envelope envelope) {
            if (remoteNodeId == null || filter.passes(remoteNodeId)) {
                traffic.recordSent(envelope);
                context.writeAndFlush(envelope);
            }
        }
    }
}
