package org.sardineshunt.engine.http;

/** A received request and the means to respond to it. Thread-safe. */
public interface HttpExchange {
    /** Returns the request. */
    HttpRequestData request();

    /** Returns the milliseconds since the head of the request was received. */
    long millisSinceReceived();

    /** Sends the response; ignored after the first response or a disconnect. */
    void respond(HttpResponseData response);

    /** Runs an action on the connection's event loop if the caller disconnects before the response is sent. */
    void onDisconnect(Runnable action);

    /**
     * Runs an action on the connection's event loop if the memory of the request is needed for others. The action must
     * see to it that the request gets a response and is released soon; the connection closes after that response.
     */
    void onEviction(Runnable action);
}
