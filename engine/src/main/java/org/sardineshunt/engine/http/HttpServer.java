package org.sardineshunt.engine.http;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
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
 * An HTTP/1.1 server that passes complete requests to a handler. Requests that are pipelined on one connection are
 * passed on concurrently as far as a predicate allows, else one at a time; their responses keep the order of the
 * requests.
 *
 * <p>Thread-safe. The handler runs on the connection's event loop and must not block.
 */
public final class HttpServer implements AutoCloseable {
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;
    private static final int ACCEPT_BACKLOG = 512;

    private final Supplier<CallerLimits> limits;
    private final Predicate<HttpRequestData> mayOverlap;
    private final Consumer<HttpExchange> handler;
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private Channel serverChannel;
    private volatile boolean closingAfterResponses;

    /** Creates a server that does not listen yet and serves the requests of one connection one at a time. */
    public HttpServer(Supplier<CallerLimits> limits, Consumer<HttpExchange> handler) {
        this(limits, request -> false, handler);
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param limits supplies the limits of each connection when it is accepted
     * @param mayOverlap tells whether a request may be served at the same time as others of its connection for which
     *     this holds, too; called on the connection's event loop, only for pipelined requests
     * @param handler called with each request
     */
    public HttpServer(
            Supplier<CallerLimits> limits, Predicate<HttpRequestData> mayOverlap, Consumer<HttpExchange> handler) {
        this.limits = limits;
        this.mayOverlap = mayOverlap;
        this.handler = handler;
    }

    /** Starts listening and returns the port; for port 0 the operating system chooses one. */
    public int listen(EventLoopGroup loops, InetSocketAddress address) {
        serverChannel = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        KeepAliveProbes.enable(channel);
                        accept(channel);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /** Returns the number of connections with a request whose response has not been written yet. */
    public int busyConnections() {
        return (int) connections.stream().filter(ServerConnection::isBusy).count();
    }

    /** Closes each connection after its next response, but not before the requests that the handler has received. */
    public void closeAfterResponses() {
        closingAfterResponses = true;
    }

    /** Closes the connections that have been idle for at least the given time. */
    public void closeIdleConnections(long idleMillis) {
        connections.forEach(connection -> connection.closeIfIdle(idleMillis));
    }

    @Override
    public void close() {
        if (serverChannel != null) {
            serverChannel.close();
        }
        connections.forEach(ServerConnection::closeNow);
    }

    boolean isClosingAfterResponses() {
        return closingAfterResponses;
    }

    boolean mayOverlap(HttpRequestData request) {
        return mayOverlap.test(request);
    }

    private void accept(Channel channel) {
        CallerLimits current = limits.get();
        ServerConnection connection = new ServerConnection(this, channel, current, handler);
        connections.add(connection);
        channel.closeFuture().addListener(closed -> connections.remove(connection));
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(current.headerBytes(), current.headerBytes(), MAXIMUM_CHUNK_BYTES),
                        connection);
    }
}
