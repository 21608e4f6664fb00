package org.sardineshunt.engine.http;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
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

/** An accepted connection. All state is confined to its event loop; other threads only read the volatile fields. */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MAXIMUM_PIPELINED_REQUESTS = 16;
    private static final long IDLE_TIMEOUT_MARGIN_MILLIS = 1_000;

    private final HttpServer server;
    private final Channel channel;
    private final CallerLimits limits;
    private final Consumer<HttpExchange> handler;
    private final Deque<ReceivedRequest> pipelinedRequests = new ArrayDeque<>();
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private Exchange currentExchange;
    private ScheduledFuture<?> idleTimer;
    private boolean rejected;
    private volatile boolean busy;
    private volatile long lastActivityNanos = System.nanoTime();

    ServerConnection(HttpServer server, Channel channel, CallerLimits limits, Consumer<HttpExchange> handler) {
        this.server = server;
        this.channel = channel;
        this.limits = limits;
        this.handler = handler;
    }

    boolean isBusy() {
        return busy;
    }

    void closeIfIdle(long idleMillis) {
        channel.eventLoop().execute(() -> {
            boolean idle = System.nanoTime() - lastActivityNanos >= idleMillis * 1_000_000;
            if (!busy && head == null && idle) {
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
        if (rejected) {
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
        pipelinedRequests.clear();
        if (currentExchange != null) {
            currentExchange.disconnected();
        }
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
        if (HttpUtil.is100ContinueExpected(request)) {
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
            ReceivedRequest request = completeRequest();
            head = null;
            body = null;
            serveOrQueue(request);
        }
    }

    private ReceivedRequest completeRequest() {
        List<HttpHeader> headers = head.headers().entries().stream()
                .map(entry -> new HttpHeader(entry.getKey(), entry.getValue()))
                .toList();
        return new ReceivedRequest(
                new HttpRequestData(head.method().name(), head.uri(), headers, body.toByteArray()),
                HttpUtil.isKeepAlive(head));
    }

    private void serveOrQueue(ReceivedRequest request) {
        if (currentExchange == null) {
            serve(request);
        } else if (pipelinedRequests.size() < MAXIMUM_PIPELINED_REQUESTS) {
            pipelinedRequests.add(request);
        } else {
            channel.close();
        }
    }

    private void serve(ReceivedRequest request) {
        currentExchange = new Exchange(request);
        busy = true;
        handler.accept(currentExchange);
    }

    private void writeResponse(Exchange exchange, HttpResponseData responseData) {
        if (exchange != currentExchange || !channel.isActive()) {
            return;
        }
        boolean close = !exchange.request.keepAlive() || server.isClosingAfterResponses();
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
        currentExchange = null;
        busy = false;
        lastActivityNanos = System.nanoTime();
        channel.writeAndFlush(response).addListener(close ? ChannelFutureListener.CLOSE : written -> {});
        ReceivedRequest next = pipelinedRequests.poll();
        if (next != null && !close) {
            serve(next);
        } else if (!close) {
            startIdleTimer();
        }
    }

    private void reject(HttpResponseStatus status) {
        rejected = true;
        head = null;
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
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

    private record ReceivedRequest(HttpRequestData data, boolean keepAlive) {}

    /** A request of this connection that has no response yet. */
    private final class Exchange implements HttpExchange {
        private final ReceivedRequest request;
        private Runnable disconnectAction = () -> {};
        private boolean disconnected;

        private Exchange(ReceivedRequest request) {
            this.request = request;
        }

        @Override
        public HttpRequestData request() {
            return request.data();
        }

        @Override
        public void respond(HttpResponseData responseData) {
            channel.eventLoop().execute(() -> writeResponse(this, responseData));
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

        private void disconnected() {
            disconnected = true;
            currentExchange = null;
            busy = false;
            disconnectAction.run();
        }
    }
}
