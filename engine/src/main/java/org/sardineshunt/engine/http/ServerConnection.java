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
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
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

    // More of a streamed body that nobody needs is not read, although the response goes out.
    private static final long MAXIMUM_DISCARDED_BYTES = 64 << 10;

    private final HttpServer server;
    private final Channel channel;
    private final CallerLimits limits;
    private final ResponseEncoder encoder;
    private final RequestDecoder decoder;
    private final RequestReceiver receiver;
    private final UnwrittenResponses unwrittenBytes;
    private final Consumer<HttpExchange> handler;
    private final Deque<ServerExchange> unanswered = new ArrayDeque<>();
    private final AtomicInteger unwrittenResponses = new AtomicInteger();
    private final ServerExchange.Connection exchangeConnection = new ExchangeConnection();
    private BodyWriter responseWriter;
    private ScheduledFuture<?> idleTimer;
    private long unansweredBytes;
    private boolean continueExpected;
    private boolean inputEnded;
    private boolean closing;
    private boolean discardingStream;
    private long discardedBytes;
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
            countDiscarded(message);
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
        if (responseWriter != null) {
            responseWriter.writeAvailable();
            unwrittenBytes.update();
        }
        if (!closing) {
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
        List<ServerExchange> disconnected = List.copyOf(unanswered);
        discardUnanswered();
        disconnected.forEach(ServerExchange::disconnect);
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
        ServerExchange rejected = new ServerExchange(exchangeConnection, RequestReceiver.Received.unknown());
        rejected.markStarted();
        addUnanswered(rejected);
        rejected.setResponse(response);
    }

    private void addUnanswered(ServerExchange exchange) {
        unanswered.add(exchange);
        unansweredBytes += exchange.request().body().length;
        serving = true;
    }

    private void discardUnanswered() {
        unanswered.forEach(ServerExchange::discard);
        unanswered.clear();
        unansweredBytes = 0;
        serving = false;
    }

    // The first request without a response starts once the caller has read the responses before it. Others start behind
    // it if all of them may overlap.
    private void startRequests() {
        int running = 0;
        boolean mayOverlap = true;
        for (ServerExchange exchange : List.copyOf(unanswered)) {
            mayOverlap &= unanswered.size() == 1 || exchange.mayOverlap();
            if (!exchange.isStarted()) {
                boolean roomBehind =
                        mayOverlap && running < MAXIMUM_CONCURRENT_REQUESTS && !server.isClosingAfterResponses();
                if (running > 0 && !roomBehind || !channel.isWritable()) {
                    return;
                }
                exchange.markStarted();
                handler.accept(exchange);
            }
            running++;
        }
    }

    private void updateReading() {
        boolean room = unanswered.size() < MAXIMUM_UNANSWERED_REQUESTS
                && unansweredBytes < MAXIMUM_UNANSWERED_BYTES
                && channel.isWritable()
                && receiver.hasRoom();
        channel.config().setAutoRead(room);
    }

    private void writeResponses() {
        while (responseWriter == null
                && !unanswered.isEmpty()
                && unanswered.peek().hasResponse()) {
            ServerExchange exchange = unanswered.peek();
            boolean close = !exchange.keepsAlive() || server.isClosingAfterResponses() && noneStartedBehindFirst();
            encoder.setRespondingToHead(exchange.request().method().equals("HEAD"));
            if (exchange.response() == null) {
                writeStreamed(exchange, close);
                return;
            }
            unwrittenBytes.removeWaiting(exchange.response());
            endAfter(close, write(exchange.response(), close));
            if (close) {
                return;
            }
        }
        if (responseWriter != null) {
            return;
        }
        startRequests();
        updateReading();
        writeExpectedContinue();
        if (unanswered.isEmpty()) {
            serving = false;
            startIdleTimer();
        }
    }

    // Removes the first exchange, whose response ends with the given write.
    private void endAfter(boolean close, ChannelFuture lastWrite) {
        ServerExchange exchange = unanswered.poll();
        unansweredBytes -= exchange.request().body().length;
        lastActivityNanos = System.nanoTime();
        unwrittenResponses.incrementAndGet();
        lastWrite.addListener(written -> {
            unwrittenResponses.decrementAndGet();
            if (close) {
                closeAfterLinger();
            }
        });
        if (close) {
            closing = true;
            inputEnded = true;
            discardingStream = exchange.hasIncompleteBody();
            receiver.discard();
            discardUnanswered();
        }
    }

    // Requests that have started must be answered, others count as not read when the connection closes.
    private boolean noneStartedBehindFirst() {
        return unanswered.stream().skip(1).noneMatch(ServerExchange::isStarted);
    }

    private void writeStreamed(ServerExchange exchange, boolean close) {
        StreamedResponse streamed = exchange.streamedResponse();
        long length = streamed.body().length();
        boolean delimited = length >= 0 || exchange.acceptsChunks();
        boolean closeAfter = close || !delimited;
        HttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(streamed.status()));
        streamed.headers().forEach(header -> head.headers().add(header.name(), header.value()));
        if (length >= 0) {
            HttpUtil.setContentLength(head, length);
        } else if (delimited) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        if (closeAfter) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(head);
        responseWriter = new BodyWriter(channel, streamed.body().pipe(), new BodyWriter.Listener() {
            @Override
            public void completed(ChannelFuture lastWrite) {
                responseWriter = null;
                endAfter(closeAfter, lastWrite);
                if (!closeAfter) {
                    writeResponses();
                }
            }

            @Override
            public void failed(String cause) {
                if (!delimited) {
                    // Without a length or chunks, only a reset tells that the response is not complete.
                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                }
                channel.close();
            }
        });
        responseWriter.start();
        unwrittenBytes.update();
    }

    private ChannelFuture write(HttpResponseData responseData, boolean close) {
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
        return channel.writeAndFlush(response);
    }

    private void countDiscarded(HttpObject message) {
        if (discardingStream && message instanceof HttpContent content) {
            discardedBytes += content.content().readableBytes();
            channel.config().setAutoRead(discardedBytes < MAXIMUM_DISCARDED_BYTES);
        }
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
        // The request whose body is being streamed; null if there is none.
        private ServerExchange streaming;

        @Override
        public void received(RequestReceiver.Received received) {
            ServerExchange exchange = new ServerExchange(exchangeConnection, received);
            continueExpected = false;
            if (received.streamedBody().isPresent()) {
                streaming = exchange;
            } else {
                inputEnded = !received.keepAlive();
            }
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

        @Override
        public void roomChanged() {
            if (!closing) {
                updateReading();
            }
        }

        @Override
        public void streamEnded() {
            inputEnded = !streaming.keepsAlive();
            streaming = null;
            updateReading();
        }

        @Override
        public void streamFailed() {
            inputEnded = true;
            streaming.failBody();
            streaming = null;
        }
    }

    /** What the exchanges of this connection need of it. */
    private final class ExchangeConnection implements ServerExchange.Connection {
        @Override
        public void execute(Runnable action) {
            channel.eventLoop().execute(action);
        }

        @Override
        public void close() {
            channel.close();
        }

        @Override
        public boolean isUnanswered(ServerExchange exchange) {
            return unanswered.contains(exchange);
        }

        @Override
        public boolean mayOverlap(HttpRequestData request) {
            return server.rules().mayOverlap(request);
        }

        @Override
        public void responseSet(ServerExchange exchange) {
            if (exchange.response() != null) {
                unwrittenBytes.addWaiting(exchange.response());
            }
            writeResponses();
            unwrittenBytes.update();
        }
    }
}
