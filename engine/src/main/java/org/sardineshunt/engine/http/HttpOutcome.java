package org.sardineshunt.engine.http;

/** The outcome of a call by {@link HttpClient}. Immutable and thread-safe. */
public sealed interface HttpOutcome {
    /**
     * A complete response was received.
     *
     * @param response the response, whatever its status; without its body if that was streamed
     * @param streamed whether the body was streamed
     */
    record Responded(HttpResponseData response, boolean streamed) implements HttpOutcome {
        /** Creates the outcome of a call whose response was not streamed. */
        public Responded(HttpResponseData response) {
            this(response, false);
        }
    }

    /**
     * No complete response was received.
     *
     * @param stage whether the request may have been sent
     * @param kind cause of the failure
     * @param detail description for the log
     */
    record Failed(Stage stage, FailureKind kind, String detail) implements HttpOutcome {}

    /** How far the request of a failed call got. */
    enum Stage {
        /** No part of it was sent. */
        NOT_SENT,
        /** The server may have received all of it. */
        SENT
    }

    /** Causes of a failed call. */
    enum FailureKind {
        /** No connection could be opened. */
        CONNECT,
        /** The connection closed or was reset. */
        CLOSED,
        /** The response was not complete within the timeout. */
        TIMEOUT,
        /** The received bytes are not a valid HTTP response. */
        MALFORMED,
        /** The response exceeds the size limit. */
        TOO_LARGE,
        /** The memory for the response was needed for others. */
        MEMORY_SHORT,
        /** The request has a method or a header that HTTP doesn't allow. */
        INVALID_REQUEST,
        /** The call was cancelled through {@link HttpClient.Call#cancel}. */
        CANCELLED
    }
}
