package org.sardineshunt.engine.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;

/**
 * An accepted connection. Pipelined requests are served concurrently if the server allows them to overlap, and answered
 * in the order in which they arrived. All state is confined to the connection's event loop; other threads only read the
 * volatile fields.
 */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;
    private static final int MAXIMUM_CONCURRENT_REQUESTS = 16;

    // Reading stops while this many requests, or bytes of requests, have no response. While it is stopped, a disconnect
    // goes unnoticed, so the limit is higher than that of the requests that are served concurrently.
    private static final int MAXIMUM_UNANSWERED_REQUESTS = 64;
    private static final long MAXIMUM_UNANSWERED_BYTES = 1 << 20;

    private static final long IDLE_TIMEOUT_MARGIN_MILLIS = 1_000;

    // Unread bytes at a close would reset the connection, and the caller might lose the last response. So what still
    // arrives is discarded for this time.
    private static final long LINGER_MILLIS = 500;

    private final HttpServer server;
    private final Channel channel;
    private final CallerLimits limits;
    private final ResponseEncoder encoder;
    private final RequestDecoder decoder;
    private final RequestReceiver receiver;
    private final UnwrittenResponses unwrittenBytes;
    private final Consumer<HttpExchange> handler;
    private final Deque<Exchange> unanswered = new ArrayDeque<>();
    private final AtomicInteger unwrittenResponses = new AtomicInteger();
    private ScheduledFuture<?> idleTimer;
    private long unansweredBytes;
    private boolean continueExpected;
    private boolean inputEnded;
    private volatile boolean receiving;
    private volatile boolean serving;
    private volatile long lastActivityNanos = System.nanoTime();

    ServerConnection(HttpServer server, Channel channel, CallerLimits limits, Consumer<HttpExchange> handler) {
        this.server = server;
        this.channel = channel;
        this.limits = limits;
        this.handler = handler;
        encoder = new ResponseEncoder();
        decoder = new RequestDecoder(limits.headerBytes(), MAXIMUM_CHUNK_BYTES);
        receiver = new RequestReceiver(server, channel, limits, decoder, new ReceiverListener());
        unwrittenBytes = new UnwrittenResponses(server.memory(), channel);
    }

    /** Adds the codec and this handler to the pipeline of the connection. */
    void install() {
        channel.pipeline().addLast(decoder, encoder, this);
    }

    /** Returns whether the connection is open without a request, not even a partial one. */
    boolean isIdle() {
        return !isBusy() && !receiving;
    }

    long lastActivityNanos() {
        return lastActivityNanos;
    }

    /** Returns whether a request has no response yet or a response has not been handed to the operating system yet. */
    boolean isBusy() {
        return serving || unwrittenResponses.get() > 0;
    }

    void closeIfIdle(long idleMillis) {
        channel.eventLoop().execute(() -> {
            boolean idle = System.nanoTime() - lastActivityNanos >= idleMillis * 1_000_000;
            if (!isBusy() && !receiver.isReceivingBody() && idle) {
                channel.close();
            }
        });
    }

    void closeNow() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        startIdleTimer();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        lastActivityNanos = System.nanoTime();
        if (inputEnded) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            receiver.discard();
            HttpResponseStatus status = rejectionStatus(message.decoderResult().cause());
            reject(new HttpResponseData(status.code(), List.of(), new byte[0]));
            return;
        }
        if (message instanceof HttpRequest request) {
            stopIdleTimer();
            continueExpected = HttpUtil.is100ContinueExpected(request);
            receiver.receiveHead(request);
            writeExpectedContinue();
        }
        if (message instanceof HttpContent content && receiver.isReceivingBody()) {
            receiver.receiveContent(content);
        }
        decoder.recordDecodedPart();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!inputEnded) {
            receiver.handleReadComplete();
            receiving = receiver.isReceiving();
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (!inputEnded) {
            startRequests();
            updateReading();
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopIdleTimer();
        inputEnded = true;
        receiver.discard();
        unwrittenBytes.close();
        List<Exchange> disconnected = List.copyOf(unanswered);
        discardUnanswered();
        disconnected.forEach(Exchange::disconnect);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    // The interim response must not precede the responses to earlier requests.
    private void writeExpectedContinue() {
        if (continueExpected && unanswered.isEmpty() && !inputEnded) {
            continueExpected = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void reject(HttpResponseData response) {
        inputEnded = true;
        HttpRequestData unknown = new HttpRequestData("", "", List.of(), new byte[0]);
        Exchange rejected = new Exchange(unknown, System.nanoTime(), () -> {});
        rejected.started = true;
        rejected.response = response;
        addUnanswered(rejected);
        writeResponses();
    }

    private void addUnanswered(Exchange exchange) {
        unanswered.add(exchange);
        unansweredBytes += exchange.request.body().length;
        serving = true;
    }

    private void discardUnanswered() {
        unanswered.forEach(exchange -> exchange.releaseMemory.run());
        unanswered.clear();
        unansweredBytes = 0;
        serving = false;
    }

    // The first request without a response starts once the caller has read the responses before it. Others start behind
    // it if all of them may overlap.
    private void startRequests() {
        int running = 0;
        boolean mayOverlap = true;
        for (Exchange exchange : List.copyOf(unanswered)) {
            mayOverlap &= unanswered.size() == 1 || exchange.mayOverlap();
            if (!exchange.started) {
                boolean roomBehind =
                        mayOverlap && running < MAXIMUM_CONCURRENT_REQUESTS && !server.isClosingAfterResponses();
                if (running > 0 && !roomBehind || !channel.isWritable()) {
                    return;
                }
                exchange.started = true;
                handler.accept(exchange);
            }
            running++;
        }
    }

    private void updateReading() {
        boolean room = unanswered.size() < MAXIMUM_UNANSWERED_REQUESTS
                && unansweredBytes < MAXIMUM_UNANSWERED_BYTES
                && channel.isWritable();
        channel.config().setAutoRead(room);
    }

    private void setResponse(Exchange exchange, HttpResponseData response) {
        if (exchange.response == null && unanswered.contains(exchange)) {
            exchange.response = response;
            exchange.releaseMemory.run();
            unwrittenBytes.addWaiting(response);
            writeResponses();
            unwrittenBytes.update();
        }
    }

    private void writeResponses() {
        while (!unanswered.isEmpty() && unanswered.peek().response != null) {
            Exchange exchange = unanswered.poll();
            unansweredBytes -= exchange.request.body().length;
            unwrittenBytes.removeWaiting(exchange.response);
            boolean close = !exchange.keepAlive || server.isClosingAfterResponses() && noneStarted();
            encoder.setRespondingToHead(exchange.request.method().equals("HEAD"));
            write(exchange.response, close);
            if (close) {
                inputEnded = true;
                discardUnanswered();
                return;
            }
        }
        startRequests();
        updateReading();
        writeExpectedContinue();
        if (unanswered.isEmpty()) {
            serving = false;
            startIdleTimer();
        }
    }

    // Requests that have started must be answered, others count as not read when the connection closes.
    private boolean noneStarted() {
        return unanswered.stream().noneMatch(exchange -> exchange.started);
    }

    private void write(HttpResponseData responseData, boolean close) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(responseData.status()),
                Unpooled.wrappedBuffer(responseData.body()));
        responseData.headers().forEach(header -> response.headers().add(header.name(), header.value()));
        if (responseData.status() != 204 && responseData.status() != 304) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, responseData.body().length);
        }
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        lastActivityNanos = System.nanoTime();
        unwrittenResponses.incrementAndGet();
        channel.writeAndFlush(response).addListener(written -> {
            unwrittenResponses.decrementAndGet();
            if (close) {
                closeAfterLinger();
            }
        });
    }

    private void closeAfterLinger() {
        if (!(channel instanceof DuplexChannel duplex) || !channel.isActive()) {
            channel.close();
            return;
        }
        duplex.shutdownOutput();
        channel.config().setAutoRead(true);
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void startIdleTimer() {
        stopIdleTimer();
        idleTimer = channel.eventLoop()
                .schedule(
                        () -> closeIfIdle(limits.idleTimeoutMillis()),
                        limits.idleTimeoutMillis() + IDLE_TIMEOUT_MARGIN_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void stopIdleTimer() {
        if (idleTimer != null) {
            idleTimer.cancel(false);
            idleTimer = null;
        }
    }

    private static HttpResponseStatus rejectionStatus(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    /** Queues received requests and writes the responses to rejected ones. */
    private final class ReceiverListener implements RequestReceiver.Listener {
        @Override
        public void received(RequestReceiver.Received received) {
            Exchange exchange = new Exchange(received.request(), received.headNanos(), received.memory()::close);
            exchange.keepAlive = received.keepAlive();
            received.memory().complete(received.releasedBytes(), exchange::evict);
            continueExpected = false;
            inputEnded = !received.keepAlive();
            addUnanswered(exchange);
            startRequests();
            updateReading();
        }

        @Override
        public void rejected(HttpResponseData response) {
            if (!inputEnded) {
                reject(response);
            }
        }
    }

    /** A request of this connection whose response has not been written yet. */
    private final class Exchange implements HttpExchange {
        private final HttpRequestData request;
        private final long receivedNanos;
        private final Runnable releaseMemory;
        private boolean keepAlive;
        private Boolean overlapAllowed;
        private boolean started;
        private HttpResponseData response;
        private Runnable disconnectAction = () -> {};
        private volatile Runnable evictionAction = () -> {};
        private volatile boolean evicted;
        private boolean disconnected;

        private Exchange(HttpRequestData request, long receivedNanos, Runnable releaseMemory) {
            this.request = request;
            this.receivedNanos = receivedNanos;
            this.releaseMemory = releaseMemory;
        }

        @Override
        public HttpRequestData request() {
            return request;
        }

        @Override
        public long millisSinceReceived() {
            return (System.nanoTime() - receivedNanos) / 1_000_000;
        }

        @Override
        public void respond(HttpResponseData responseData) {
            channel.eventLoop().execute(() -> setResponse(this, responseData));
        }

        @Override
        public void onDisconnect(Runnable action) {
            channel.eventLoop().execute(() -> {
                disconnectAction = action;
                if (disconnected) {
                    action.run();
                }
            });
        }

        @Override
        public void onEviction(Runnable action) {
            evictionAction = action;
            if (evicted) {
                channel.eventLoop().execute(action);
            }
        }

        // A request that the handler hasn't received is refused here, any other by the handler.
        private void evict() {
            keepAlive = false;
            evicted = true;
            if (started) {
                evictionAction.run();
                return;
            }
            started = true;
            setResponse(
                    this,
                    new HttpResponseData(
                            HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
                            RequestReceiver.MEMORY_SHORT_HEADERS,
                            new byte[0]));
        }

        private boolean mayOverlap() {
            if (overlapAllowed == null) {
                overlapAllowed = server.rules().mayOverlap(request);
            }
            return overlapAllowed;
        }

        private void disconnect() {
            disconnected = true;
            disconnectAction.run();
        }
    }
}
