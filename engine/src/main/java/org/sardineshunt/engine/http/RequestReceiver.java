package org.sardineshunt.engine.http;

import java.util.List;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
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

    private final HttpServer server;
    private final CallerLimits limits;
    private final RequestDecoder decoder;
    private final Listener listener;
    private final LoopRunner runner;
    private final ReadTimer headTimer;
    private final ReadTimer bodyTimer;
    private MemoryBudget.Holder partialHeadMemory;
    private RequestMemory memory;
    private HttpRequest head;
    private BodyBuffer body;
    private long headReceivedNanos;

    RequestReceiver(
            HttpServer server, Channel channel, CallerLimits limits, RequestDecoder decoder, Listener listener) {
        this.server = server;
        this.limits = limits;
        this.decoder = decoder;
        this.listener = listener;
        runner = new LoopRunner(channel.eventLoop());
        headTimer = new ReadTimer(channel, () -> reject(HttpResponseStatus.REQUEST_TIMEOUT, List.of()));
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

    void receiveHead(HttpRequest request) {
        discard();
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, List.of());
            return;
        }
        head = request;
        headReceivedNanos = System.nanoTime();
        body = new BodyBuffer();
        memory = new RequestMemory(server.memory(), request, runner, this::refuseForMemory);
    }

    void receiveContent(HttpContent content) {
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
            complete();
        }
    }

    /** Starts the timer and reserves the memory of a request of which only a part has arrived. */
    void handleReadComplete() {
        if (head != null) {
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
        head = null;
        body = null;
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

    private void complete() {
        // Joining the parts needs the body's length again until the parts are released.
        int joiningBytes = body.joiningAllocation();
        if (joiningBytes > 0 && !memory.tryReserve(joiningBytes)) {
            refuseForMemory();
            return;
        }
        int releasedBytes = joiningBytes > 0 ? body.allocatedBytes() : 0;
        Received received = new Received(
                toRequest(body.toArray()), HttpUtil.isKeepAlive(head), headReceivedNanos, memory, releasedBytes);
        memory = null;
        discard();
        listener.received(received);
    }

    private void refuseForMemory() {
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, MEMORY_SHORT_HEADERS);
    }

    private void reject(HttpResponseStatus status, List<HttpHeader> headers) {
        discard();
        listener.rejected(new HttpResponseData(status.code(), headers, new byte[0]));
    }

    private HttpRequestData toRequest(byte[] bodyBytes) {
        List<HttpHeader> headers = head.headers().entries().stream()
                .map(entry -> new HttpHeader(entry.getKey(), entry.getValue()))
                .toList();
        return new HttpRequestData(head.method().name(), head.uri(), headers, bodyBytes);
    }

    /** Receives complete requests and the responses to rejected ones, on the event loop. */
    interface Listener {
        /** Called with each complete request. */
        void received(Received request);

        /** Called with the response to a request that is rejected before it is complete; no further one is received. */
        void rejected(HttpResponseData response);
    }

    /**
     * A complete request.
     *
     * @param request the request
     * @param keepAlive whether the connection stays open after the response
     * @param headNanos when its head was received
     * @param memory memory of the request, not marked as complete yet
     * @param releasedBytes bytes of the memory that are no longer used
     */
    record Received(
            HttpRequestData request, boolean keepAlive, long headNanos, RequestMemory memory, int releasedBytes) {}
}
