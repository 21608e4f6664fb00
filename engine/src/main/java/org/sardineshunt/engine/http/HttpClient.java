package org.sardineshunt.engine.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.coordination.memory.MemoryBudget.Kind;
import org.sardineshunt.engine.http.HttpOutcome.Failed;
import org.sardineshunt.engine.http.HttpOutcome.FailureKind;
import org.sardineshunt.engine.http.HttpOutcome.Stage;

/**
 * An HTTP/1.1 client with pooled connections, each of which carries one call at a time.
 *
 * <pre>{@code
 * HttpClient client = new HttpClient(eventLoop, "X-Request-Id");
 * HttpClient.Call call = client.send(address, request, options, outcome -> { ... });
 * call.cancel();
 * }</pre>
 *
 * <p>A connection is reused only after a complete, well-formed response to its own request that repeats the echoed
 * header, if there is one; bytes that arrive between two calls close it. A request that got an error response is not
 * sent again on the same connection, where a second copy of that response could not be told from the next one. Requests
 * are never retried. Thread-safe; each call reports one outcome, on the event loop.
 */
public final class HttpClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    // All responses that are being received together; one call fails if its response would exceed this.
    private static final long MAXIMUM_BUFFERED_BYTES = 24 << 20;

    /** Default limit of a response, with its head and with the interim and stale responses before it. */
    public static final int DEFAULT_MAXIMUM_RESPONSE_BYTES = 4 << 20;

    private final EventLoop loop;
    private final String echoedHeader;
    private final int maximumResponseBytes;
    private final MemoryBudget memory;
    private final Map<InetSocketAddress, Deque<ClientConnection>> idleConnections = new HashMap<>();
    private long bufferedBytes;
    private boolean closed;

    /**
     * Creates a client without open connections.
     *
     * @param loop event loop of all connections
     * @param echoedHeader header that a response copies from its request, used to detect a response to another request;
     *     empty if there is none
     * @param maximumResponseBytes limit of a response, with its head and with the interim and stale responses before it;
     *     a call whose response is longer fails
     * @param memory memory for the responses
     */
    public HttpClient(EventLoop loop, String echoedHeader, int maximumResponseBytes, MemoryBudget memory) {
        this.loop = loop;
        this.echoedHeader = echoedHeader;
        this.maximumResponseBytes = maximumResponseBytes;
        this.memory = memory;
    }

    /** Creates a client whose responses share no memory with other parts of the process. */
    public HttpClient(EventLoop loop, String echoedHeader, int maximumResponseBytes) {
        this(loop, echoedHeader, maximumResponseBytes, MemoryBudget.unlimited());
    }

    /** Creates a client with the default limit of a response whose responses share no memory with other parts. */
    public HttpClient(EventLoop loop, String echoedHeader) {
        this(loop, echoedHeader, DEFAULT_MAXIMUM_RESPONSE_BYTES);
    }

    /**
     * Sends a request.
     *
     * @param onOutcome called once, on the event loop, when the call has ended
     */
    public Call send(
            InetSocketAddress address, HttpRequestData request, Options options, Consumer<HttpOutcome> onOutcome) {
        return send(address, request, options, CallStreams.NONE, onOutcome);
    }

    /**
     * Sends a request whose body or response may be streamed. A streamed response is complete or has failed when the
     * outcome is reported.
     *
     * @param onOutcome called once, on the event loop, when the call has ended
     */
    public Call send(
            InetSocketAddress address,
            HttpRequestData request,
            Options options,
            CallStreams streams,
            Consumer<HttpOutcome> onOutcome) {
        Call call = new Call(address, request, options, streams, onOutcome);
        loop.execute(call::start);
        return call;
    }

    /** Closes the idle connections to an address. */
    public void closeIdleConnections(InetSocketAddress address) {
        loop.execute(() -> {
            Deque<ClientConnection> connections = idleConnections.remove(address);
            if (connections != null) {
                connections.forEach(ClientConnection::close);
            }
        });
    }

    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            idleConnections.values().forEach(connections -> connections.forEach(ClientConnection::close));
            idleConnections.clear();
        });
    }

    private void returnToPool(ClientConnection connection) {
        if (closed) {
            connection.close();
            return;
        }
        idleConnections
                .computeIfAbsent(connection.address(), key -> new ArrayDeque<>())
                .push(connection);
    }

    private void removeFromPool(ClientConnection connection) {
        Deque<ClientConnection> connections = idleConnections.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    // Returns null if there is no connection that the request can be sent on.
    private ClientConnection takeFromPool(InetSocketAddress address, HttpRequestData request, long maximumIdleMillis) {
        Deque<ClientConnection> connections = idleConnections.getOrDefault(address, new ArrayDeque<>());
        List<ClientConnection> expired = connections.stream()
                .filter(connection -> !connection.isReusable(maximumIdleMillis))
                .toList();
        connections.removeAll(expired);
        expired.forEach(ClientConnection::close);
        Optional<ClientConnection> found = connections.stream()
                .filter(connection -> connection.canAttributeResponseTo(request))
                .findFirst();
        found.ifPresent(connections::remove);
        return found.orElse(null);
    }

    private boolean reserve(int responseBytes, int addedBytes) {
        if (responseBytes > maximumResponseBytes || bufferedBytes + addedBytes > MAXIMUM_BUFFERED_BYTES) {
            return false;
        }
        bufferedBytes += addedBytes;
        return true;
    }

    private ChannelFuture connect(ClientConnection connection) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        KeepAliveProbes.enable(channel);
                        connection.install(channel);
                    }
                })
                .connect(connection.address());
    }

    /**
     * Limits of a call.
     *
     * @param timeoutMillis time within which the response must be complete
     * @param maximumIdleMillis idle time up to which a pooled connection is reused; negative to open a new connection
     */
    public record Options(long timeoutMillis, long maximumIdleMillis) {}

    /** A call in progress. Thread-safe. */
    public final class Call {
        private final InetSocketAddress address;
        private final HttpRequestData request;
        private final Options options;
        private final CallStreams streams;
        private final Consumer<HttpOutcome> onOutcome;
        private final long createdNanos = System.nanoTime();
        private volatile long headNanos;
        private volatile long bodySentNanos;
        private volatile BodyPipe responsePipe;
        private ClientConnection connection;
        private java.util.concurrent.ScheduledFuture<?> timeoutTimer;
        private MemoryBudget.Holder holder;
        private int reservedBytes;
        private boolean sent;
        private volatile boolean ended;

        private Call(
                InetSocketAddress address,
                HttpRequestData request,
                Options options,
                CallStreams streams,
                Consumer<HttpOutcome> onOutcome) {
            this.address = address;
            this.request = request;
            this.options = options;
            this.streams = streams;
            this.onOutcome = onOutcome;
        }

        /** Fails the call as cancelled and closes its connection, unless the call has already ended. */
        public void cancel() {
            loop.execute(() -> fail(FailureKind.CANCELLED, "cancelled"));
        }

        /**
         * Returns how long the server took, without the time that a streamed body or response was in transit: from the
         * end of the request to the head of the response, or to now while there is none.
         */
        public long serverMillis() {
            long startNanos = bodySentNanos == 0 ? createdNanos : bodySentNanos;
            long endNanos = headNanos == 0 ? System.nanoTime() : headNanos;
            return Math.max(0, (endNanos - startNanos) / 1_000_000);
        }

        /** Returns whether a body is in transit, so that the caller determines how long the call takes. */
        public boolean isStreaming() {
            return !ended && (responsePipe != null || streams.requestBody().isPresent() && bodySentNanos == 0);
        }

        HttpRequestData request() {
            return request;
        }

        CallStreams streams() {
            return streams;
        }

        void recordBodySent() {
            bodySentNanos = System.nanoTime();
        }

        /** Passes a streamed response on and returns the pipe for its body. */
        BodyPipe startResponse(HttpResponseData head, long length, Runnable onConsumed) {
            headNanos = System.nanoTime();
            releaseMemory();
            LoopRunner runner = new LoopRunner(loop);
            responsePipe = new BodyPipe(memory, new BodyPipe.Source() {
                @Override
                public void consumed(int bytes) {
                    runner.run(onConsumed);
                }

                @Override
                public void cancelled() {
                    cancel();
                }
            });
            streams.onResponse()
                    .accept(new StreamedResponse(
                            head.status(), head.headers(), new StreamedBody(responsePipe, length)));
            return responsePipe;
        }

        /** Counts received bytes; fails the call and returns false if they exceed a limit. */
        boolean receive(int bytes) {
            if (ended) {
                return false;
            }
            // An overflow means that the limit is exceeded, too.
            int total = reservedBytes + bytes;
            if (total < 0 || !reserve(total, bytes)) {
                fail(FailureKind.TOO_LARGE, "response exceeds the limit after " + reservedBytes + " bytes");
                return false;
            }
            reservedBytes = total;
            return reserveMemory(bytes);
        }

        /** Reserves memory for the response; fails the call and returns false if memory is short. */
        boolean reserveMemory(int bytes) {
            long now = LoopRunner.nowMillis();
            if (holder == null) {
                LoopRunner runner = new LoopRunner(loop);
                holder = memory.open(Kind.UPSTREAM_RESPONSE, now, () -> runner.run(this::failForMemory));
            }
            holder.recordProgress(now);
            if (!holder.tryReserve(now, bytes)) {
                failForMemory();
                return false;
            }
            return true;
        }

        private void failForMemory() {
            fail(FailureKind.MEMORY_SHORT, "memory is short after " + reservedBytes + " bytes");
        }

        void complete(HttpResponseData response, boolean reusable) {
            if (ended) {
                return;
            }
            if (responsePipe != null) {
                responsePipe.end();
            }
            finish(new HttpOutcome.Responded(response, responsePipe != null));
            if (reusable) {
                returnToPool(connection);
            } else {
                connection.close();
            }
        }

        void fail(FailureKind kind, String detail) {
            if (ended) {
                return;
            }
            if (responsePipe != null) {
                responsePipe.fail(detail);
            }
            finish(new Failed(sent ? Stage.SENT : Stage.NOT_SENT, kind, detail));
            if (connection != null) {
                connection.close();
            }
        }

        private void start() {
            timeoutTimer = loop.schedule(
                    // A body in transit that is late says nothing about the server.
                    () -> fail(
                            isStreaming() ? FailureKind.CANCELLED : FailureKind.TIMEOUT,
                            "no complete response within " + options.timeoutMillis() + " ms"),
                    Math.max(1, options.timeoutMillis()),
                    TimeUnit.MILLISECONDS);
            connection = takeFromPool(address, request, options.maximumIdleMillis());
            if (connection != null) {
                sendOrFail();
                return;
            }
            connection = new ClientConnection(address, echoedHeader, HttpClient.this::removeFromPool);
            connect(connection).addListener(connected -> {
                if (!connected.isSuccess()) {
                    fail(FailureKind.CONNECT, String.valueOf(connected.cause().getMessage()));
                } else if (ended) {
                    connection.close();
                } else {
                    sendOrFail();
                }
            });
        }

        private void sendOrFail() {
            try {
                sendRequest();
            } catch (IllegalArgumentException invalid) {
                fail(FailureKind.INVALID_REQUEST, "cannot encode the request: " + invalid.getMessage());
            }
        }

        private void sendRequest() {
            HttpRequest message = ClientConnection.encode(request, streams.requestBody());
            sent = true;
            connection.send(this, message);
        }

        private void releaseMemory() {
            bufferedBytes -= reservedBytes;
            reservedBytes = 0;
            if (holder != null) {
                holder.close();
            }
        }

        private void finish(HttpOutcome outcome) {
            ended = true;
            releaseMemory();
            timeoutTimer.cancel(false);
            onOutcome.accept(outcome);
        }
    }
}
