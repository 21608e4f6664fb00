package org.sardineshunt.engine.http;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.sardineshunt.engine.http.HttpOutcome.FailureKind;

/** A client connection that carries one call at a time. All state is confined to the client's event loop. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int INFORMATIONAL_CLASS = 1;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int MAXIMUM_LINE_BYTES = 16_384;
    private static final int MAXIMUM_HEADER_BYTES = 65_536;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;

    // Counted for each head and header field besides its text, so that many short ones reach the limit, too.
    private static final int HEAD_OVERHEAD_BYTES = 1_024;
    private static final int FIELD_OVERHEAD_BYTES = 32;

    private static final int MAXIMUM_KEEP_ALIVE_DIGITS = 9;
    private static final int FIRST_ERROR_STATUS = 400;

    // A connection on which more requests have failed is not reused.
    private static final int MAXIMUM_FAILED_REQUESTS = 64;

    private final InetSocketAddress address;
    private final String echoedHeader;
    private final Consumer<ClientConnection> onClosed;
    private final ResponseDecoder decoder = new ResponseDecoder(
            new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                    .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                    .setMaxChunkSize(MAXIMUM_CHUNK_BYTES),
            this::requestMethod);
    // Values of the echoed header of the requests that got an error response on this connection.
    private final Set<String> failedRequests = new HashSet<>();

    private Channel channel;
    private HttpClient.Call call;
    private HttpResponse head;
    private BodyBuffer body;
    private BodyWriter requestWriter;
    private BodyPipe responsePipe;
    private boolean streamingRefused;
    private boolean attributionUncertain;
    private boolean usedBefore;
    private boolean discarding;
    private long idleSinceNanos;
    private long serverIdleTimeoutMillis = Long.MAX_VALUE;

    ClientConnection(InetSocketAddress address, String echoedHeader, Consumer<ClientConnection> onClosed) {
        this.address = address;
        this.echoedHeader = echoedHeader;
        this.onClosed = onClosed;
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isReusable(long maximumIdleMillis) {
        long idleMillis = (System.nanoTime() - idleSinceNanos) / 1_000_000;
        return channel.isActive()
                && !decoder.hasUndecodedBytes()
                && idleMillis <= Math.min(maximumIdleMillis, serverIdleTimeoutMillis);
    }

    /**
     * Returns whether a response to the request could be told from a second copy of an earlier one: not if the request has
     * got an error response on this connection before, because the copy would repeat its echoed header.
     */
    boolean canAttributeResponseTo(HttpRequestData request) {
        return failedRequests.isEmpty() || !failedRequests.contains(echoedValue(request));
    }

    /** Adds the codec and this handler to the pipeline of a new connection. */
    void install(Channel newChannel) {
        channel = newChannel;
        newChannel.pipeline().addLast(decoder, new HttpRequestEncoder(), this);
    }

    /**
     * Encodes a request, or only its head if its body is streamed.
     *
     * @throws IllegalArgumentException if HTTP doesn't allow its method or a header
     */
    static HttpRequest encode(HttpRequestData request, Optional<StreamedBody> streamedBody) {
        if (streamedBody.isPresent()) {
            DefaultHttpRequest head = new DefaultHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.target());
            request.headers().forEach(header -> head.headers().add(header.name(), header.value()));
            HttpUtil.setTransferEncodingChunked(head, streamedBody.get().length() < 0);
            if (streamedBody.get().length() >= 0) {
                HttpUtil.setContentLength(head, streamedBody.get().length());
            }
            return head;
        }
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.target(),
                Unpooled.wrappedBuffer(request.body()));
        request.headers().forEach(header -> message.headers().add(header.name(), header.value()));
        if (request.body().length > 0 || expectsBody(request.method())) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    void send(HttpClient.Call newCall, HttpRequest message) {
        call = newCall;
        streamingRefused = false;
        requestWriter = newCall.streams()
                .requestBody()
                .map(streamed -> new BodyWriter(channel, streamed.pipe(), new RequestBodyListener(newCall)))
                .orElse(null);
        channel.writeAndFlush(message).addListener(written -> {
            if (!written.isSuccess()) {
                fail(
                        newCall,
                        FailureKind.CLOSED,
                        "cannot write the request: " + written.cause().getMessage());
            }
        });
        if (requestWriter != null) {
            channel.writeAndFlush(new DefaultHttpContent(
                    Unpooled.wrappedBuffer(newCall.request().body())));
            requestWriter.start();
        }
    }

    /** Closes the connection and discards what was received, since the caller may keep the ended call. */
    void close() {
        head = null;
        body = null;
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (call == null) {
            context.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(
                    call,
                    FailureKind.MALFORMED,
                    "malformed HTTP response: "
                            + message.decoderResult().cause().getMessage());
            return;
        }
        if (message instanceof HttpResponse response) {
            receiveHead(response);
        }
        if (message instanceof HttpContent content) {
            receiveContent(content);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (requestWriter != null) {
            requestWriter.writeAvailable();
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onClosed.accept(this);
        if (requestWriter != null) {
            requestWriter.stop();
        }
        fail(call, FailureKind.CLOSED, "connection closed before the response was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(call, FailureKind.CLOSED, String.valueOf(cause.getMessage()));
        context.close();
    }

    private String requestMethod() {
        return call == null ? "" : call.request().method();
    }

    private void receiveHead(HttpResponse response) {
        if (!call.receive(sizeOf(response))) {
            return;
        }
        if (response.status().code() == SWITCHING_PROTOCOLS) {
            fail(call, FailureKind.MALFORMED, "status 101, but the request asks for no other protocol");
            return;
        }
        if (response.status().code() / 100 == INFORMATIONAL_CLASS) {
            discarding = true;
            return;
        }
        String echoed = echoedHeader.isEmpty() ? null : response.headers().get(echoedHeader);
        String expected = echoedValue(call.request());
        if (echoed != null && expected != null && !echoed.equals(expected)) {
            // A late response to an earlier request: discard it, wait for the right one and then close the connection.
            attributionUncertain = true;
            discarding = true;
            return;
        }
        if (expected != null && echoed == null) {
            if (usedBefore) {
                fail(
                        call,
                        FailureKind.MALFORMED,
                        "response without header '" + echoedHeader + "' on a used connection");
                return;
            }
            attributionUncertain = true;
        }
        head = response;
        body = new BodyBuffer();
        if (HttpUtil.getContentLength(response, 0L) > StreamedBody.RESPONSE_THRESHOLD_BYTES) {
            streamIfAccepted();
        }
    }

    private void streamIfAccepted() {
        HttpResponseData headData = toResponse(new byte[0]);
        if (streamingRefused || !call.streams().acceptsResponse().test(headData)) {
            streamingRefused = true;
            return;
        }
        long length = HttpUtil.getContentLength(head, StreamedBody.UNKNOWN_LENGTH);
        responsePipe = call.startResponse(headData, length, this::updateReading);
        body.drainTo(responsePipe::write);
        updateReading();
    }

    // Reading stops while the caller doesn't take the response.
    private void updateReading() {
        channel.config().setAutoRead(responsePipe == null || responsePipe.hasRoom());
    }

    private void receiveContent(HttpContent content) {
        if (call != null && responsePipe != null) {
            byte[] part = new byte[content.content().readableBytes()];
            content.content().readBytes(part);
            responsePipe.write(part);
            updateReading();
            if (responsePipe.failure() != null) {
                fail(call, FailureKind.MEMORY_SHORT, responsePipe.failure());
                return;
            }
        } else if (call == null || !call.receive(content.content().readableBytes())) {
            return;
        } else if (!discarding && body != null) {
            body.append(content.content());
            if (body.size() > StreamedBody.RESPONSE_THRESHOLD_BYTES) {
                streamIfAccepted();
            }
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        if (discarding) {
            discarding = false;
        } else if (head != null) {
            completeResponse();
        }
    }

    private void completeResponse() {
        // Joining the parts needs the body's length again until the parts are released.
        if (responsePipe == null && !call.reserveMemory(body.joiningAllocation())) {
            return;
        }
        HttpResponseData response = toResponse(responsePipe == null ? body.toArray() : new byte[0]);
        String echoedValue = echoedValue(call.request());
        if (response.status() >= FIRST_ERROR_STATUS && echoedValue != null) {
            failedRequests.add(echoedValue);
        }
        boolean reusable = HttpUtil.isKeepAlive(head)
                && hasDelimitedBody(head)
                && !attributionUncertain
                && failedRequests.size() <= MAXIMUM_FAILED_REQUESTS
                // A response before the end of the request: the rest of the body would be taken for the next request.
                && (requestWriter == null || requestWriter.isComplete())
                && channel.isActive();
        serverIdleTimeoutMillis = serverIdleTimeoutMillis(response);
        idleSinceNanos = System.nanoTime();
        usedBefore = true;
        HttpClient.Call completedCall = call;
        if (requestWriter != null) {
            requestWriter.stop();
            requestWriter = null;
        }
        responsePipe = null;
        updateReading();
        call = null;
        head = null;
        body = null;
        completedCall.complete(response, reusable);
    }

    private HttpResponseData toResponse(byte[] bodyBytes) {
        List<HttpHeader> headers = head.headers().entries().stream()
                .map(entry -> new HttpHeader(entry.getKey(), entry.getValue()))
                .toList();
        return new HttpResponseData(head.status().code(), headers, bodyBytes);
    }

    private void fail(HttpClient.Call failedCall, FailureKind kind, String detail) {
        if (failedCall != null && failedCall == call) {
            call = null;
            failedCall.fail(kind, detail);
        }
    }

    /** Records the end of a streamed request body. */
    private final class RequestBodyListener implements BodyWriter.Listener {
        private final HttpClient.Call streamingCall;

        private RequestBodyListener(HttpClient.Call streamingCall) {
            this.streamingCall = streamingCall;
        }

        @Override
        public void completed(ChannelFuture lastWrite) {
            streamingCall.recordBodySent();
        }

        @Override
        public void failed(String cause) {
            fail(streamingCall, FailureKind.CANCELLED, "request body: " + cause);
        }
    }

    // Null if the request has no such header.
    private String echoedValue(HttpRequestData request) {
        return echoedHeader.isEmpty()
                ? null
                : HttpHeader.firstValue(request.headers(), echoedHeader).orElse(null);
    }

    private static int sizeOf(HttpResponse response) {
        return HEAD_OVERHEAD_BYTES
                + response.headers().entries().stream()
                        .mapToInt(field -> FIELD_OVERHEAD_BYTES
                                + field.getKey().length()
                                + field.getValue().length())
                        .sum();
    }

    private static boolean expectsBody(String method) {
        return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
    }

    private static boolean hasDelimitedBody(HttpResponse response) {
        int status = response.status().code();
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response)
                || status == 204
                || status == 304;
    }

    // Returns the idle timeout that the server announces, less a margin of 500 ms; unlimited if it announces none.
    private static long serverIdleTimeoutMillis(HttpResponseData response) {
        return response.header("keep-alive")
                .flatMap(value -> java.util.Arrays.stream(value.split(","))
                        .map(String::trim)
                        .filter(part -> part.startsWith("timeout="))
                        .map(part -> part.substring("timeout=".length()))
                        .filter(part -> !part.isEmpty() && part.length() <= MAXIMUM_KEEP_ALIVE_DIGITS)
                        .filter(part -> part.chars().allMatch(digit -> digit >= '0' && digit <= '9'))
                        .findFirst())
                .map(seconds -> Long.parseLong(seconds) * 1_000 - 500)
                .orElse(Long.MAX_VALUE);
    }
}
