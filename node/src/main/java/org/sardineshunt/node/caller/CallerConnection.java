package org.sardineshunt.node.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jboss.logging.Logger;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.kit.HttpHandler;
import org.sardineshunt.kit.HttpRequest;
import org.sardineshunt.kit.HttpResponse;

/**
 * Serves the requests of one caller connection, one at a time and in order. All state belongs to the connection's event
 * loop.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final Logger LOG = Logger.getLogger(CallerConnection.class);

    private final HttpHandler handler;
    private final Deque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();
    private boolean requestInFlight;
    private boolean closing;
    private long lastActivityNanos = System.nanoTime();

    CallerConnection(HttpHandler handler) {
        this.handler = handler;
    }

    /** Closes the connection once no request has been in flight for the given time; may be called from any thread. */
    void closeWhenIdle(Channel channel, long requiredIdleNanos) {
        channel.eventLoop().execute(() -> {
            closing = true;
            closeIfIdle(channel, requiredIdleNanos);
        });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest nettyRequest) {
        if (nettyRequest.decoderResult().isFailure()) {
            refuseMalformed(context, nettyRequest.decoderResult().cause().getMessage());
            return;
        }
        if (requestInFlight) {
            pipelinedRequests.add(nettyRequest.retain());
            return;
        }
        serve(context, nettyRequest);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pipelinedRequests.forEach(FullHttpRequest::release);
        pipelinedRequests.clear();
    }

    private void serve(ChannelHandlerContext context, FullHttpRequest nettyRequest) {
        requestInFlight = true;
        lastActivityNanos = System.nanoTime();
        // The next request is read from the connection once this one is answered.
        context.channel().config().setAutoRead(false);
        boolean keepAlive = HttpUtil.isKeepAlive(nettyRequest);
        boolean headRequest = nettyRequest.method().equals(HttpMethod.HEAD);
        HttpRequest request = toHttpRequest(nettyRequest);
        handler.handle(request)
                .whenComplete((result, failure) -> context.executor().execute(() -> {
                    if (failure != null) {
                        LOG.errorf(failure, "handler of %s %s failed", request.method(), request.path());
                    }
                    HttpResponse response =
                            failure == null ? result : HttpResponse.problem(500, "internal error", "see the log");
                    write(context, response, keepAlive, headRequest);
                }));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.debugf("connection of %s failed: %s", context.channel().remoteAddress(), cause.getMessage());
        context.close();
    }

    private static HttpRequest toHttpRequest(FullHttpRequest nettyRequest) {
        String target = nettyRequest.uri();
        int queryStart = target.indexOf('?');
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        // Repeated headers become one with a list of values, as RFC 9110 allows.
        nettyRequest
                .headers()
                .forEach(entry ->
                        headers.merge(entry.getKey(), entry.getValue(), (first, second) -> first + ", " + second));
        return new HttpRequest(
                nettyRequest.method().name(),
                queryStart < 0 ? target : target.substring(0, queryStart),
                queryStart < 0 ? "" : target.substring(queryStart + 1),
                headers,
                ByteBufUtil.getBytes(nettyRequest.content()),
                Map.of());
    }

    private void refuseMalformed(ChannelHandlerContext context, String detail) {
        HttpResponse response = HttpResponse.problem(400, Reason.MALFORMED_REQUEST.label(), detail)
                .withHeader("Sardineshunt-Verdict", Verdict.NOT_RUN.label())
                .withHeader("Sardineshunt-Reason", Reason.MALFORMED_REQUEST.label());
        write(context, response, false, false);
    }

    private void write(ChannelHandlerContext context, HttpResponse response, boolean keepAlive, boolean headRequest) {
        FullHttpResponse nettyResponse = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                headRequest ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(response.body()));
        response.headers().forEach(header -> nettyResponse.headers().add(header.getKey(), header.getValue()));
        nettyResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        boolean close = closing
                || !keepAlive
                || nettyResponse.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        if (close) {
            nettyResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        requestInFlight = false;
        lastActivityNanos = System.nanoTime();
        context.writeAndFlush(nettyResponse).addListener(close ? ChannelFutureListener.CLOSE : future -> {});
        FullHttpRequest next = close ? null : pipelinedRequests.poll();
        if (next == null) {
            context.channel().config().setAutoRead(!close);
            return;
        }
        serve(context, next);
        next.release();
    }

    private void closeIfIdle(Channel channel, long requiredIdleNanos) {
        long idleNanos = System.nanoTime() - lastActivityNanos;
        if (!requestInFlight && idleNanos >= requiredIdleNanos) {
            channel.close();
        } else if (channel.isActive()) {
            long delayNanos = requestInFlight ? requiredIdleNanos : requiredIdleNanos - idleNanos;
            channel.eventLoop()
                    .schedule(() -> closeIfIdle(channel, requiredIdleNanos), delayNanos, TimeUnit.NANOSECONDS);
        }
    }
}
