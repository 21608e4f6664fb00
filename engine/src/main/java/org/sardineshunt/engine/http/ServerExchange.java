package org.sardineshunt.engine.http;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A request of a connection whose response has not been written yet. The handler's methods are thread-safe; everything
 * else is confined to the connection's event loop.
 */
final class ServerExchange implements HttpExchange {
    private final Connection connection;
    private final RequestReceiver.Received received;
    private boolean keepAlive;
    private Boolean overlapAllowed;
    private boolean started;
    private HttpResponseData response;
    private StreamedResponse streamedResponse;
    private Runnable disconnectAction = () -> {};
    private volatile Runnable evictionAction = () -> {};
    private volatile Runnable bodyFailureAction = () -> {};
    private volatile boolean evicted;
    private volatile boolean bodyFailed;
    private boolean disconnected;

    ServerExchange(Connection connection, RequestReceiver.Received received) {
        this.connection = connection;
        this.received = received;
        keepAlive = received.keepAlive();
        received.memory().complete(received.releasedBytes(), this::evict);
    }

    @Override
    public HttpRequestData request() {
        return received.request();
    }

    @Override
    public Optional<StreamedBody> streamedBody() {
        return received.streamedBody();
    }

    @Override
    public long millisSinceReceived() {
        return (System.nanoTime() - received.headNanos()) / 1_000_000;
    }

    @Override
    public void respond(HttpResponseData responseData) {
        connection.execute(() -> setResponse(responseData));
    }

    @Override
    public void respondStreamed(StreamedResponse newResponse) {
        connection.execute(() -> {
            if (hasResponse() || !connection.isUnanswered(this)) {
                newResponse.body().pipe().cancel();
                return;
            }
            streamedResponse = newResponse;
            received.memory().close();
            connection.responseSet(this);
        });
    }

    @Override
    public void onDisconnect(Runnable action) {
        connection.execute(() -> {
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
            connection.execute(action);
        }
    }

    @Override
    public void onBodyFailure(Runnable action) {
        bodyFailureAction = action;
        if (bodyFailed) {
            connection.execute(action);
        }
    }

    @Override
    public void abort() {
        connection.execute(connection::close);
    }

    /** Returns whether the connection stays open after the response, as far as the request says. */
    boolean keepsAlive() {
        return keepAlive && !hasIncompleteBody();
    }

    /** Returns whether a part of the request's body has not arrived yet. */
    boolean hasIncompleteBody() {
        return received.streamedBody().isPresent()
                && !received.streamedBody().get().pipe().isComplete();
    }

    boolean acceptsChunks() {
        return received.acceptsChunks();
    }

    boolean isStarted() {
        return started;
    }

    void markStarted() {
        started = true;
    }

    boolean hasResponse() {
        return response != null || streamedResponse != null;
    }

    /** Returns the complete response; null if there is none. */
    HttpResponseData response() {
        return response;
    }

    /** Returns the streamed response; null if there is none. */
    StreamedResponse streamedResponse() {
        return streamedResponse;
    }

    /** Responds unless there is a response. */
    void setResponse(HttpResponseData newResponse) {
        if (!hasResponse() && connection.isUnanswered(this)) {
            response = newResponse;
            received.memory().close();
            connection.responseSet(this);
        }
    }

    boolean mayOverlap() {
        if (overlapAllowed == null) {
            overlapAllowed = connection.mayOverlap(received.request());
        }
        return overlapAllowed;
    }

    /** Releases what the request and its response use, because the connection needs them no longer. */
    void discard() {
        received.memory().close();
        if (streamedResponse != null) {
            streamedResponse.body().pipe().cancel();
        }
    }

    void disconnect() {
        disconnected = true;
        disconnectAction.run();
    }

    /** Ends a request whose streamed body will never be complete. */
    void failBody() {
        bodyFailed = true;
        endEarly(bodyFailureAction, HttpResponseStatus.REQUEST_TIMEOUT, List.of());
    }

    private void evict() {
        evicted = true;
        endEarly(evictionAction, HttpResponseStatus.SERVICE_UNAVAILABLE, RequestReceiver.MEMORY_SHORT_HEADERS);
    }

    // A request that the handler hasn't received is refused here, any other by the handler.
    private void endEarly(Runnable action, HttpResponseStatus status, List<HttpHeader> headers) {
        keepAlive = false;
        if (started) {
            action.run();
        } else {
            started = true;
            setResponse(new HttpResponseData(status.code(), headers, new byte[0]));
        }
    }

    /** The connection of an exchange. */
    interface Connection {
        /** Runs an action on the event loop, later. */
        void execute(Runnable action);

        void close();

        /** Returns whether the exchange still waits for its response. */
        boolean isUnanswered(ServerExchange exchange);

        boolean mayOverlap(HttpRequestData request);

        /** Called when an exchange has got its response. */
        void responseSet(ServerExchange exchange);
    }
}
