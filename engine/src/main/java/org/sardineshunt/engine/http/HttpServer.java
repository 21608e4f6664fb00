package org.sardineshunt.engine.http;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Optional;
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
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;

/**
 * An HTTP/1.1 server that passes complete requests to a handler. Requests that are pipelined on one connection are
 * passed on concurrently as far as the rules allow, else one at a time; their responses keep the order of the
 * requests.
 *
 * <p>Thread-safe. The handler runs on the connection's event loop and must not block.
 */
public final class HttpServer implements AutoCloseable {
    private static final int ACCEPT_BACKLOG = 512;

    private final Supplier<CallerLimits> limits;
    private final RequestRules rules;
    private final ServerResources resources;
    private final Consumer<HttpExchange> handler;
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private Channel serverChannel;
    private volatile boolean closingAfterResponses;

    /** Creates a server without limits of resources that serves the requests of one connection one at a time. */
    public HttpServer(Supplier<CallerLimits> limits, Consumer<HttpExchange> handler) {
        this(limits, request -> false, handler);
    }

    /** Creates a server without limits of resources. */
    public HttpServer(Supplier<CallerLimits> limits, RequestRules rules, Consumer<HttpExchange> handler) {
        this(limits, rules, ServerResources.unlimited(), handler);
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param limits supplies the limits of each connection when it is accepted
     * @param rules tells how to treat a request before it is passed on
     * @param handler called with each request
     */
    public HttpServer(
            Supplier<CallerLimits> limits,
            RequestRules rules,
            ServerResources resources,
            Consumer<HttpExchange> handler) {
        this.limits = limits;
        this.rules = rules;
        this.resources = resources;
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

    RequestRules rules() {
        return rules;
    }

    MemoryBudget memory() {
        return resources.memory();
    }

    /** Serves a new connection, unless too many are open and none of them is idle. */
    void accept(Channel channel) {
        if (connections.size() >= resources.maximumConnections()) {
            resources.connectionClosed().accept(connections.size());
            Optional<ServerConnection> longestIdle = connections.stream()
                    .filter(ServerConnection::isIdle)
                    .min(Comparator.comparingLong(ServerConnection::lastActivityNanos));
            if (longestIdle.isEmpty()) {
                channel.close();
                return;
            }
            // It counts no longer, although it may take a moment until it is closed on its event loop.
            connections.remove(longestIdle.get());
            longestIdle.get().closeNow();
        }
        ServerConnection connection = new ServerConnection(this, channel, limits.get(), handler);
        connections.add(connection);
        channel.closeFuture().addListener(closed -> connections.remove(connection));
        connection.install();
    }
}
