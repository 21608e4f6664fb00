package org.sardineshunt.node.caller;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.sardineshunt.kit.HttpHandler;

/**
 * HTTP/1.1 server for callers, based on Netty's codec. Thread-safe.
 *
 * <p>It leaves bodies of any media type unchanged. It can stop without cutting off a request: first it closes the
 * listener, then each connection once that connection is idle.
 */
public final class CallerEndpoint implements AutoCloseable {
    private static final int MAXIMUM_REQUEST_LINE_BYTES = 8 << 10;
    private static final int MAXIMUM_HEADER_SECTION_BYTES = 16 << 10;
    private static final int MAXIMUM_CHUNK_BYTES = 64 << 10;
    private static final int ACCEPT_BACKLOG = 1_024;

    // A request may be on its way when the server starts to close; closing its connection would drop it unanswered.
    private static final long IDLE_BEFORE_CLOSE_MILLIS = 250;

    private static final long GRACEFUL_CLOSE_TIMEOUT_SECONDS = 10;

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel listener;

    private CallerEndpoint(
            EventLoopGroup eventLoops, String host, int port, int maximumBodyBytes, HttpHandler handler) {
        listener = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.pipeline()
                                .addLast(new HttpServerCodec(
                                        MAXIMUM_REQUEST_LINE_BYTES, MAXIMUM_HEADER_SECTION_BYTES, MAXIMUM_CHUNK_BYTES))
                                .addLast(new HttpObjectAggregator(maximumBodyBytes))
                                .addLast(new CallerConnection(handler));
                    }
                })
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Starts listening; returns when the port is open.
     *
     * @param port 0 lets the system choose
     * @param maximumBodyBytes maximum size of a request body; a longer one is answered with status 413
     * @param handler answers requests; called on event loops
     */
    public static CallerEndpoint listen(
            EventLoopGroup eventLoops, String host, int port, int maximumBodyBytes, HttpHandler handler) {
        return new CallerEndpoint(eventLoops, host, port, maximumBodyBytes, handler);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Stops listening, answers requests that still arrive on open connections, and closes each connection once it is
     * idle. Blocks until all are closed, but no longer than a limit.
     */
    public void closeGracefully() {
        listener.close().awaitUninterruptibly();
        connections.forEach(connection -> connection
                .pipeline()
                .get(CallerConnection.class)
                .closeWhenIdle(connection, TimeUnit.MILLISECONDS.toNanos(IDLE_BEFORE_CLOSE_MILLIS)));
        connections.newCloseFuture().awaitUninterruptibly(GRACEFUL_CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Closes the listener and all connections at once. */
    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }
}
