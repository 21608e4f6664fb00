package org.sardineshunt.engine.http;

import java.io.ByteArrayOutputStream;
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
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;

/**
 * An accepted connection. Pipelined requests are served concurrently if the server allows them to overlap, and answered
 * in the order in which they arrived. All state is confined to the connection's event loop; other threads only read the
 * volatile fields.
 */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
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
    private final Consumer<HttpExchange> handler;
    private final Deque<Exchange> unanswered = new ArrayDeque<>();
    private final AtomicInteger unwrittenResponses = new AtomicInteger();
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private ScheduledFuture<?> idleTimer;
    private long unansweredBytes;
    private boolean continueExpected;
    private boolean inputEnded;
    private volatile boolean serving;
    private volatile long lastActivityNanos = System.nanoTime();

    ServerConnection(HttpServer server, Channel channel, CallerLimits limits, Consumer<HttpExchange> handler) {
        this.server = server;
        this.channel = channel;
        this.limits = limits;
        this.handler = handler;
    }

    /** Returns whether a request has no response yet or a response has not been handed to the operating system yet. */
    boolean isBusy() {
        return serving || unwrittenResponses.get() > 0;
    }

    void closeIfIdle(long idleMillis) {
        channel.eventLoop().execute(() -> {
            boolean idle = System.nanoTime() - lastActivityNanos >= idleMillis * 1_000_000;
            if (!isBusy() && head == null && idle) {
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
            reject(rejectionStatus(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpRequest request) {
            receiveHead(request);
        }
        if (message instanceof HttpContent content && head != null) {
            receiveContent(content);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopIdleTimer();
        inputEnded = true;
        List<Exchange> disconnected = List.copyOf(unanswered);
        discardUnanswered();
        disconnected.forEach(Exchange::disconnect);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void receiveHead(HttpRequest request) {
        stopIdleTimer();
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        head = request;
        body = new ByteArrayOutputStream();
        continueExpected = HttpUtil.is100ContinueExpected(request);
        writeExpectedContinue();
    }

    // The interim response must not precede the responses to earlier requests.
    private void writeExpectedContinue() {
        if (continueExpected && unanswered.isEmpty()) {
            continueExpected = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void receiveContent(HttpContent content) {
        byte[] bytes = new byte[content.content().readableBytes()];
        content.content().readBytes(bytes);
        if ((long) body.size() + bytes.length > limits.bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        body.writeBytes(bytes);
        if (content instanceof LastHttpContent) {
            completeRequest();
        }
    }

    private void completeRequest() {
        List<HttpHeader> headers = head.headers().entries().stream()
                .map(entry -> new HttpHeader(entry.getKey(), entry.getValue()))
                .toList();
        boolean keepAlive = HttpUtil.isKeepAlive(head);
        HttpRequestData request = new HttpRequestData(head.method().name(), head.uri(), headers, body.toByteArray());
        head = null;
        body = null;
        continueExpected = false;
        inputEnded = !keepAlive;
        addUnanswered(new Exchange(request, keepAlive));
        startRequests();
        updateReading();
    }

    private void reject(HttpResponseStatus status) {
        inputEnded = true;
        head = null;
        body = null;
        Exchange rejected = new Exchange(new HttpRequestData("", "", List.of(), new byte[0]), false);
        rejected.started = true;
        rejected.response = new HttpResponseData(status.code(), List.of(), new byte[0]);
        addUnanswered(rejected);
        writeResponses();
    }

    private void addUnanswered(Exchange exchange) {
        unanswered.add(exchange);
        unansweredBytes += exchange.request.body().length;
        serving = true;
    }

    private void discardUnanswered() {
        unanswered.clear();
        unansweredBytes = 0;
        serving = false;
    }

    // The first request without a response starts in any case. Others start behind it if all of them may overlap.
    private void startRequests() {
        int running = 0;
        boolean mayOverlap = true;
        for (Exchange exchange : List.copyOf(unanswered)) {
            mayOverlap &= unanswered.size() == 1 || exchange.mayOverlap();
            if (!exchange.started) {
                boolean roomBehind =
                        mayOverlap && running < MAXIMUM_CONCURRENT_REQUESTS && !server.isClosingAfterResponses();
                if (running > 0 && !roomBehind) {
                    return;
                }
                exchange.started = true;
                handler.accept(exchange);
            }
            running++;
        }
    }

    private void updateReading() {
        boolean room = unanswered.size() < MAXIMUM_UNANSWERED_REQUESTS && unansweredBytes < MAXIMUM_UNANSWERED_BYTES;
        channel.config().setAutoRead(room);
    }

    private void setResponse(Exchange exchange, HttpResponseData response) {
        if (exchange.response == null && unanswered.contains(exchange)) {
            exchange.response = response;
            writeResponses();
        }
    }

    private void writeResponses() {
        while (!unanswered.isEmpty() && unanswered.peek().response != null) {
            Exchange exchange = unanswered.poll();
            unansweredBytes -= exchange.request.body().length;
            boolean close = !exchange.keepAlive || server.isClosingAfterResponses() && noneStarted();
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

    /** A request of this connection whose response has not been written yet. */
    private final class Exchange implements HttpExchange {
        private final HttpRequestData request;
        private final boolean keepAlive;
        private final long receivedNanos = System.nanoTime();
        private Boolean overlapAllowed;
        private boolean started;
        private HttpResponseData response;
        private Runnable disconnectAction = () -> {};
        private boolean disconnected;

        private Exchange(HttpRequestData request, boolean keepAlive) {
            this.request = request;
            this.keepAlive = keepAlive;
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

        private boolean mayOverlap() {
            if (overlapAllowed == null) {
                overlapAllowed = server.mayOverlap(request);
            }
            return overlapAllowed;
        }

        private void disconnect() {
            disconnected = true;
            disconnectAction.run();
        }
    }
}
