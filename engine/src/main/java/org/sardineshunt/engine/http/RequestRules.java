package org.sardineshunt.engine.http;

/** What a server must know of a request before its handler gets it. Called on the connection's event loop. */
@FunctionalInterface
public interface RequestRules {
    /** Time for a body if nothing else limits it. */
    long DEFAULT_BODY_TIMEOUT_MILLIS = 30_000;

    /**
     * Returns whether a request may be served at the same time as others of its connection for which this holds, too;
     * called only for pipelined requests.
     */
    boolean mayOverlap(HttpRequestData request);

    /**
     * Returns the time after its head within which the body of a request must be complete; called only if it isn't
     * received together with the head.
     *
     * @param head the request, with an empty body
     */
    default long bodyTimeoutMillis(HttpRequestData head) {
        return DEFAULT_BODY_TIMEOUT_MILLIS;
    }
}
