package org.sardineshunt.engine.http;

/** One request that waits for its answer. Thread-safe. */
public interface HttpExchange {
    /** Returns the request. */
    HttpRequestData request();

    /** Sends the answer; further answers are dropped. */
    void respond(HttpResponseData response);

    /** Runs an action, on the connection's thread, if the caller leaves before the answer. */
    void onDisconnect(Runnable action);
}
