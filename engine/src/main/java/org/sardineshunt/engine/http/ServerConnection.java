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

/** One accepted connection. All state belongs to its event loop, but for what other threads only read. */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MOST_WAITING = 16;
    private static final long IDLE_ALLOWANCE_MILLIS = 1_000;

    private final HttpServer server;
    private final Channel channel;
    private final CallerLimits limits;
    private final Consumer<HttpExchange> handler;
    private final Deque<Request> waiting = new ArrayDeque<>();
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private Exchange current;
    private ScheduledFuture<?> idleTimer;
    private boolean refusing;
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
        waitForRequest();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        lastActivityNanos = System.nanoTime();
        if (refusing) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            refuse(statusOf(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpRequest request) {
            begin(request);
        }
        if (message instanceof HttpContent content && head != null) {
            receive(content);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopIdleTimer();
        waiting.clear();
        if (current != null) {
            current.gone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void begin(HttpRequest request) {
        stopIdleTimer();
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        head = request;
        body = new ByteArrayOutputStream();
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void receive(HttpContent content) {
        byte[] bytes = new byte[content.content().readableBytes()];
        content.content().readBytes(bytes);
        if ((long) body.size() + bytes.length > limits.bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        body.writeBytes(bytes);
        if (content instanceof LastHttpContent) {
            Request request = whole();
            head = null;
            body = null;
            accept(request);
        }
    }

    private Request whole() {
        List<HttpHeader> fields = head.headers().entries().stream()
                .map(entry -> new HttpHeader(entry.getKey(), entry.getValue()))
                .toList();
        return new Request(
                new HttpRequestData(head.method().name(), head.uri(), fields, body.toByteArray()),
                HttpUtil.isKeepAlive(head));
    }

    private void accept(Request request) {
        if (current == null) {
            serve(request);
        } else if (waiting.size() < MOST_WAITING) {
            waiting.add(request);
        } else {
            channel.close();
        }
    }

    private void serve(Request request) {
        current = new Exchange(request);
        busy = true;
        handler.accept(current);
    }

    private void write(Exchange exchange, HttpResponseData answer) {
        if (exchange != current || !channel.isActive()) {
            return;
        }
        boolean close = !exchange.request.keepAlive() || server.isClosing();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status()),
                Unpooled.wrappedBuffer(answer.body()));
        answer.headers().forEach(field -> response.headers().add(field.name(), field.value()));
        if (answer.status() != 204 && answer.status() != 304) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        }
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        current = null;
        busy = false;
        lastActivityNanos = System.nanoTime();
        channel.writeAndFlush(response).addListener(close ? ChannelFutureListener.CLOSE : written -> {});
        Request next = waiting.poll();
        if (next != null && !close) {
            serve(next);
        } else if (!close) {
            waitForRequest();
        }
    }

    private void refuse(HttpResponseStatus status) {
        refusing = true;
        head = null;
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void waitForRequest() {
        stopIdleTimer();
        idleTimer = channel.eventLoop()
                .schedule(
                        () -> closeIfIdle(limits.idleTimeoutMillis()),
                        limits.idleTimeoutMillis() + IDLE_ALLOWANCE_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void stopIdleTimer() {
        if (idleTimer != null) {
            idleTimer.cancel(false);
            idleTimer = null;
        }
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    private record Request(HttpRequestData data, boolean keepAlive) {}

    /** A request of this connection that waits for its answer. */
    private final class Exchange implements HttpExchange {
        private final Request request;
        private Runnable onGone = () -> {};
        private boolean gone;

        private Exchange(Request request) {
            this.request = request;
        }

        @Override
        public HttpRequestData request() {
            return request.data();
        }

        @Override
        public void respond(HttpResponseData answer) {
            channel.eventLoop().execute(() -> write(this, answer));
        }

        @Override
        public void onDisconnect(Runnable action) {
            channel.eventLoop().execute(() -> {
                onGone = action;
                if (gone) {
                    action.run();
                }
            });
        }

        private void gone() {
            gone = true;
            current = null;
            busy = false;
            onGone.run();
        }
    }
}
