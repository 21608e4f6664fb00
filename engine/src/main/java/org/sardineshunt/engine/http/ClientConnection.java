package org.sardineshunt.engine.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.sardineshunt.engine.http.HttpOutcome.FailureKind;

/** The calling end of one connection. All state belongs to the client's event loop. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int INFORMATIONAL_CLASS = 1;

    private final InetSocketAddress address;
    private final String echoedField;
    private final Consumer<ClientConnection> onClosed;
    private Channel channel;
    private HttpClient.Call call;
    private HttpResponse head;
    private ByteArrayOutputStream body;
    private boolean crossed;
    private boolean skipping;
    private long idleSinceNanos;
    private long keepAliveMillis = Long.MAX_VALUE;

    ClientConnection(InetSocketAddress address, String echoedField, Consumer<ClientConnection> onClosed) {
        this.address = address;
        this.echoedField = echoedField;
        this.onClosed = onClosed;
    }

    InetSocketAddress address() {
        return address;
    }

    boolean usable(long maxIdleMillis) {
        long idleMillis = (System.nanoTime() - idleSinceNanos) / 1_000_000;
        return channel.isActive() && idleMillis <= Math.min(maxIdleMillis, keepAliveMillis);
    }

    void write(HttpClient.Call newCall) {
        call = newCall;
        HttpRequestData request = newCall.request();
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.target(),
                Unpooled.wrappedBuffer(request.body()));
        request.headers().forEach(field -> message.headers().add(field.name(), field.value()));
        if (request.body().length > 0 || carriesBody(request.method())) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        channel.writeAndFlush(message).addListener(written -> {
            if (!written.isSuccess()) {
                endWith(
                        newCall,
                        FailureKind.CLOSED,
                        "write failed: " + written.cause().getMessage());
            }
        });
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (call == null) {
            context.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            endWith(
                    call,
                    FailureKind.MALFORMED,
                    "not an answer: " + message.decoderResult().cause().getMessage());
            return;
        }
        if (message instanceof HttpResponse response) {
            begin(response);
        }
        if (message instanceof HttpContent content) {
            receive(content);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onClosed.accept(this);
        endWith(call, FailureKind.CLOSED, "connection closed before the whole answer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        endWith(call, FailureKind.CLOSED, String.valueOf(cause.getMessage()));
        context.close();
    }

    private void begin(HttpResponse response) {
        if (response.status().code() / 100 == INFORMATIONAL_CLASS) {
            skipping = true;
            return;
        }
        String echoed = echoedField.isEmpty() ? null : response.headers().get(echoedField);
        String expected = echoedField.isEmpty()
                ? null
                : HttpHeader.firstValue(call.request().headers(), echoedField).orElse(null);
        if (echoed != null && expected != null && !echoed.equals(expected)) {
            // A late answer to an earlier request; the connection is closed after ours.
            crossed = true;
            skipping = true;
            return;
        }
        head = response;
        body = new ByteArrayOutputStream();
    }

    private void receive(HttpContent content) {
        if (!skipping && body != null) {
            append(content.content());
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (skipping) {
            skipping = false;
        } else if (head != null) {
            complete();
        }
    }

    private void append(ByteBuf bytes) {
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.writeBytes(copy);
    }

    private void complete() {
        List<HttpHeader> fields = head.headers().entries().stream()
                .map(entry -> new HttpHeader(entry.getKey(), entry.getValue()))
                .toList();
        HttpResponseData answer = new HttpResponseData(head.status().code(), fields, body.toByteArray());
        boolean reusable = HttpUtil.isKeepAlive(head) && hasLength(head) && !crossed && channel.isActive();
        keepAliveMillis = keepAliveMillis(answer);
        idleSinceNanos = System.nanoTime();
        HttpClient.Call ended = call;
        call = null;
        head = null;
        body = null;
        ended.answered(answer, reusable);
    }

    private void endWith(HttpClient.Call ended, FailureKind kind, String detail) {
        if (ended != null && ended == call) {
            call = null;
            ended.fail(kind, detail);
        }
    }

    private static boolean carriesBody(String method) {
        return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
    }

    private static boolean hasLength(HttpResponse response) {
        int status = response.status().code();
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response)
                || status == 204
                || status == 304;
    }

    private static long keepAliveMillis(HttpResponseData answer) {
        return answer.header("keep-alive")
                .flatMap(value -> java.util.Arrays.stream(value.split(","))
                        .map(String::trim)
                        .filter(part -> part.startsWith("timeout="))
                        .map(part -> part.substring("timeout=".length()))
                        .filter(part -> part.chars().allMatch(Character::isDigit) && !part.isEmpty())
                        .findFirst())
                .map(seconds -> Long.parseLong(seconds) * 1_000 - 500)
                .orElse(Long.MAX_VALUE);
    }
}
