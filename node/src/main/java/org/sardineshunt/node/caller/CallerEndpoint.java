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
 * The HTTP/1.1 server for callers, on Netty's codec. Thread-safe.
 *
 * <p>It passes bodies on byte by byte whatever their media type, and it can stop without cutting off a request: first
 * the listener closes, then connections are closed one by one when they have nothing in flight.
 */
public final class CallerEndpoint implements AutoCloseable {
    private static final int MAXIMUM_REQUEST_LINE_BYTES = 8 << 10;
    private static final int MAXIMUM_HEADER_SECTION_BYTES = 16 << 10;
    private static final int MAXIMUM_CHUNK_BYTES = 64 << 10;
    private static final int ACCEPT_BACKLOG = 1_024;
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
     * Starts listening.
     *
     * @param port port; 0 lets the system choose
     * @param maxBodyBytes longest accepted body; a longer one is answered with status 413
     */
    public static CallerEndpoint listen(
            EventLoopGroup eventLoops, String host, int port, int maximumBodyBytes, HttpHandler handler) {
        return new CallerEndpoint(eventLoops, host, port, maximumBodyBytes, handler);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Stops listening, answers what still arrives on open connections, and closes each when it is quiet. */
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
