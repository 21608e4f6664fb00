package org.sardineshunt.engine.http;

/** How a call by {@link HttpClient} ended. Immutable and thread-safe. */
public sealed interface HttpOutcome {
    /**
     * A whole answer came.
     *
     * @param response the answer
     */
    record Responded(HttpResponseData response) implements HttpOutcome {}

    /**
     * No whole answer came.
     *
     * @param stage how far the request got
     * @param kind what ended the call
     * @param detail text for the log
     */
    record Failed(Stage stage, FailureKind kind, String detail) implements HttpOutcome {}

    /** How far a failed request got. */
    enum Stage {
        /** Nothing of it was sent. */
        NOT_SENT,
        /** It may have been received in whole. */
        SENT
    }

    /** What ended a failed call. */
    enum FailureKind {
        /** No connection could be opened. */
        CONNECT,
        /** The connection closed or was reset. */
        CLOSED,
        /** The time for the answer was over. */
        TIMEOUT,
        /** What came is no answer to this request. */
        MALFORMED,
        /** The caller cancelled. */
        CANCELLED
    }
}
