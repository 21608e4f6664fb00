package org.sardineshunt.engine.http;

/** A received request and the means to respond to it. Thread-safe. */
public interface HttpExchange {
    /** Returns the request. */
    HttpRequestData request();

    /** Returns the milliseconds since the request was received completely. */
    long millisSinceReceived();

    /** Sends the response; ignored after the first response or a disconnect. */
    void respond(HttpResponseData response);

    /** Runs an action on the connection's event loop if the caller disconnects before the response is sent. */
    void onDisconnect(Runnable action);
}
