package org.sardineshunt.engine.http;

import java.util.List;
import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.coordination.memory.MemoryBudget.Kind;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;

/**
 * Receives the requests of a connection within the limits of size, time and memory. Confined to the connection's event
 * loop.
 */
final class RequestReceiver {
    /** Headers of the response to a request that is refused because memory is short. */
    static final List<HttpHeader> MEMORY_SHORT_HEADERS = List.of(new HttpHeader("Retry-After", "0.50"));

    // A streamed body that makes no progress for this long occupies a slot of an upstream in vain.
    private static final long STREAM_STALL_MILLIS = 10_000;

    private final HttpServer server;
    private final CallerLimits limits;
    private final RequestDecoder decoder;
    private final Listener listener;
    private final LoopRunner runner;
    private final ReadTimer headTimer;
    private final ReadTimer bodyTimer;
    private final ReadTimer stallTimer;
    private MemoryBudget.Holder partialHeadMemory;
    private RequestMemory memory;
    private HttpRequest head;
    private BodyBuffer body;
    private BodyPipe stream;
    private long bodyLength;
    private long streamedBytes;
    private long headReceivedNanos;

    RequestReceiver(
            HttpServer server, Channel channel, CallerLimits limits, RequestDecoder decoder, Listener listener) {
        this.server = server;
        this.limits = limits;
        this.decoder = decoder;
        this.listener = listener;
        runner = new LoopRunner(channel.eventLoop());
        headTimer = new ReadTimer(channel, () -> reject(HttpResponseStatus.REQUEST_TIMEOUT, List.of()));
        stallTimer = new ReadTimer(channel, () -> failStream("no progress for " + STREAM_STALL_MILLIS + " ms"));
        bodyTimer = new ReadTimer(channel, () -> reject(HttpResponseStatus.REQUEST_TIMEOUT, List.of()));
    }

    /** Returns whether the head of a request was received, but not yet its body. */
    boolean isReceivingBody() {
        return head != null;
    }

    /** Returns whether a part of a request was received. */
    boolean isReceiving() {
        return head != null || decoder.holdsIncompleteData();
    }

    /** Returns whether the sink of a streamed body takes more. */
    boolean hasRoom() {
        return stream == null || stream.hasRoom();
    }

    void receiveHead(HttpRequest request) {
        discard();
        bodyLength = HttpUtil.getContentLength(request, StreamedBody.UNKNOWN_LENGTH);
        if (bodyLength > limits.bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, List.of());
            return;
        }
        head = request;
        headReceivedNanos = System.nanoTime();
        body = new BodyBuffer();
        memory = new RequestMemory(server.memory(), request, runner, this::refuseForMemory);
    }

    void receiveContent(HttpContent content) {
        if (stream != null) {
            receiveStreamedContent(content);
            return;
        }
        int bytes = content.content().readableBytes();
        if ((long) body.size() + bytes > limits.bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, List.of());
            return;
        }
        if (!memory.tryReserve(body.allocationFor(bytes))) {
            refuseForMemory();
            return;
        }
        body.append(content.content());
        if (content instanceof LastHttpContent) {
            joinBody().ifPresent(joined -> passOn(joined, Optional.empty()));
        } else if (Math.max(bodyLength, body.size()) > StreamedBody.REQUEST_THRESHOLD_BYTES) {
            joinBody().ifPresent(this::startStream);
        }
    }

    /** Starts the timer and reserves the memory of a request of which only a part has arrived. */
    void handleReadComplete() {
        if (stream != null) {
            stallTimer.startIfStopped(() -> STREAM_STALL_MILLIS);
        } else if (head != null) {
            // A head without a part of its body counts, too.
            if (!memory.tryReserve(0)) {
                refuseForMemory();
                return;
            }
            bodyTimer.startIfStopped(() -> {
                long elapsedMillis = (System.nanoTime() - headReceivedNanos) / 1_000_000;
                return server.rules().bodyTimeoutMillis(toRequest(new byte[0])) - elapsedMillis;
            });
        } else if (decoder.holdsIncompleteData()) {
            receivePartialHead();
        } else {
            decoder.recordAllDecoded();
        }
    }

    /** Releases what was received of a request that is not complete. */
    void discard() {
        headTimer.stop();
        bodyTimer.stop();
        stallTimer.stop();
        head = null;
        body = null;
        if (stream != null) {
            stream.fail("the request has ended");
            stream = null;
        }
        if (memory != null) {
            memory.close();
            memory = null;
        }
        if (partialHeadMemory != null) {
            partialHeadMemory.close();
            partialHeadMemory = null;
        }
    }

    private void receivePartialHead() {
        long now = LoopRunner.nowMillis();
        if (partialHeadMemory == null) {
            partialHeadMemory = server.memory().open(Kind.PARTIAL_HEAD, now, () -> runner.run(this::refuseForMemory));
        }
        long added = decoder.incompleteDataBytes() - partialHeadMemory.reservedBytes();
        if (!partialHeadMemory.tryReserve(now, Math.max(0, added))) {
            refuseForMemory();
            return;
        }
        headTimer.startIfStopped(limits::headerTimeoutMillis);
    }

    // Empty if the request was refused because memory is short.
    private Optional<byte[]> joinBody() {
        // Joining the parts needs the body's length again until the parts are released.
        int joiningBytes = body.joiningAllocation();
        if (joiningBytes > 0 && !memory.tryReserve(joiningBytes)) {
            refuseForMemory();
            return Optional.empty();
        }
        return Optional.of(body.toArray());
    }

    private void startStream(byte[] firstPart) {
        BodyPipe pipe = new BodyPipe(server.memory(), new BodyPipe.Source() {
            @Override
            public void consumed(int bytes) {
                runner.run(listener::roomChanged);
            }

            @Override
            public void cancelled() {
                runner.run(listener::roomChanged);
            }
        });
        HttpRequest streamedHead = head;
        streamedBytes = firstPart.length;
        long length = bodyLength;
        passOn(firstPart, Optional.of(new StreamedBody(pipe, length)));
        // The handler may have ended the connection.
        if (!pipe.isCancelled() && pipe.failure() == null) {
            head = streamedHead;
            stream = pipe;
        }
    }

    private void receiveStreamedContent(HttpContent content) {
        stallTimer.stop();
        byte[] part = new byte[content.content().readableBytes()];
        content.content().readBytes(part);
        streamedBytes += part.length;
        if (streamedBytes > limits.bodyBytes()) {
            failStream("body exceeds the limit");
            return;
        }
        stream.write(part);
        if (stream.failure() != null) {
            failStream(stream.failure());
        } else if (content instanceof LastHttpContent) {
            stream.end();
            stream = null;
            discard();
            listener.streamEnded();
        } else {
            listener.roomChanged();
        }
    }

    private void failStream(String cause) {
        if (stream != null) {
            stream.fail(cause);
            stream = null;
            discard();
            listener.streamFailed();
        }
    }

    private void passOn(byte[] bodyBytes, Optional<StreamedBody> streamedBody) {
        int releasedBytes = body.joiningAllocation() > 0 ? body.allocatedBytes() : 0;
        boolean acceptsChunks = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        Received received = new Received(
                toRequest(bodyBytes),
                HttpUtil.isKeepAlive(head),
                acceptsChunks,
                headReceivedNanos,
                memory,
                releasedBytes,
                streamedBody);
        memory = null;
        discard();
        listener.received(received);
    }

    private void refuseForMemory() {
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, MEMORY_SHORT_HEADERS);
    }

    private void reject(HttpResponseStatus status, List<HttpHeader> headers) {
        discard();
        decoder.discardPartialHead();
        listener.rejected(new HttpResponseData(status.code(), headers, new byte[0]));
    }

    private HttpRequestData toRequest(byte[] bodyBytes) {
        List<HttpHeader> headers = head.headers().entries().stream()
                .map(entry -> new HttpHeader(entry.getKey(), entry.getValue()))
                .toList();
        return new HttpRequestData(head.method().name(), head.uri(), headers, bodyBytes);
    }

    /** Receives requests and the responses to rejected ones, on the event loop. */
    interface Listener {
        /** Called with each request that is complete or whose body is long enough to be streamed. */
        void received(Received request);

        /** Called with the response to a request that is rejected before it is complete; no further one is received. */
        void rejected(HttpResponseData response);

        /** Called when the sink of a streamed body may take more, or less, than before. */
        void roomChanged();

        /** Called when a streamed body is complete. */
        void streamEnded();

        /** Called when a streamed body will never be complete. */
        void streamFailed();
    }

    /**
     * A request whose body is complete or streamed.
     *
     * @param request the request, with the first part of a streamed body
     * @param keepAlive whether the connection stays open after the response
     * @param acceptsChunks whether the response may be sent in chunks
     * @param headNanos when its head was received
     * @param memory memory of the request, not marked as complete yet
     * @param releasedBytes bytes of the memory that are no longer used
     * @param streamedBody rest of the body; empty if it is complete
     */
    record Received(
            HttpRequestData request,
            boolean keepAlive,
            boolean acceptsChunks,
            long headNanos,
            RequestMemory memory,
            int releasedBytes,
            Optional<StreamedBody> streamedBody) {
        /** Returns what is known of a request that was rejected before it was complete. */
        static Received unknown() {
            HttpRequestData request = new HttpRequestData("", "", List.of(), new byte[0]);
            return new Received(request, false, false, System.nanoTime(), RequestMemory.none(), 0, Optional.empty());
        }
    }
}
