package org.sardineshunt.engine.http;

import java.util.Optional;

/** A received request and the means to respond to it. Thread-safe. */
public interface HttpExchange {
    /** Returns the request. */
    HttpRequestData request();

    /** Returns the milliseconds since the head of the request was received. */
    long millisSinceReceived();

    /** Returns the rest of the request's body that arrives later; empty if the request contains all of it. */
    default Optional<StreamedBody> streamedBody() {
        return Optional.empty();
    }

    /** Sends the response; ignored after the first response or a disconnect. */
    void respond(HttpResponseData response);

    /**
     * Sends a response whose body is passed on while it arrives; cancelled after the first response or a disconnect. If
     * the body fails, the connection closes, so that the response doesn't look complete.
     */
    default void respondStreamed(StreamedResponse response) {
        throw new UnsupportedOperationException("this exchange has no streamed responses");
    }

    /** Closes the connection without a response. */
    default void abort() {
        throw new UnsupportedOperationException("this exchange has no connection");
    }

    /**
     * Runs an action on the connection's event loop if the rest of a streamed body will never arrive although the caller
     * is connected. The action must end the request.
     */
    default void onBodyFailure(Runnable action) {}

    /** Runs an action on the connection's event loop if the caller disconnects before the response is sent. */
    void onDisconnect(Runnable action);

    /**
     * Runs an action on the connection's event loop if the memory of the request is needed for others. The action must
     * see to it that the request gets a response and is released soon; the connection closes after that response.
     */
    void onEviction(Runnable action);
}
