package org.sardineshunt.engine.http;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;

/**
 * Accepts connections and hands over whole requests, one at a time for each connection.
 *
 * <p>Thread-safe. Handlers run on the connections' event loop and must not block.
 */
public final class HttpServer implements AutoCloseable {
    private static final int CHUNK_BYTES = 65_536;
    private static final int BACKLOG = 512;

    private final Supplier<CallerLimits> limits;
    private final Consumer<HttpExchange> handler;
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private Channel listener;
    private volatile boolean closing;

    /**
     * Creates a server that doesn't listen yet.
     *
     * @param limits bounds for connections that are accepted from then on
     */
    public HttpServer(Supplier<CallerLimits> limits, Consumer<HttpExchange> handler) {
        this.limits = limits;
        this.handler = handler;
    }

    /** Starts listening and returns the port; port 0 lets the system choose. */
    public int listen(EventLoopGroup loops, InetSocketAddress address) {
        listener = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        KeepAliveProbes.apply(channel);
                        accept(channel);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Returns how many connections are open. */
    public int openConnections() {
        return connections.size();
    }

    /** Returns how many connections have a request that waits for its answer. */
    public int busyConnections() {
        return (int) connections.stream().filter(ServerConnection::isBusy).count();
    }

    /** Lets each connection end with its next answer. */
    public void closeAfterResponses() {
        closing = true;
    }

    /** Closes connections that have been idle for some milliseconds. */
    public void closeIdleConnections(long idleMillis) {
        connections.forEach(connection -> connection.closeIfIdle(idleMillis));
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.close();
        }
        connections.forEach(ServerConnection::closeNow);
    }

    boolean isClosing() {
        return closing;
    }

    private void accept(Channel channel) {
        CallerLimits current = limits.get();
        ServerConnection connection = new ServerConnection(this, channel, current, handler);
        connections.add(connection);
        channel.closeFuture().addListener(closed -> connections.remove(connection));
        channel.pipeline()
                .addLast(new HttpServerCodec(current.headerBytes(), current.headerBytes(), CHUNK_BYTES), connection);
    }
}
