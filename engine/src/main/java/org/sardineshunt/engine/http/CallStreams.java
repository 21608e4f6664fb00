package org.sardineshunt.engine.http;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Streamed bodies of a call. Immutable.
 *
 * @param requestBody rest of the request's body; empty if the request is complete
 * @param acceptsResponse tells by its head whether a long response may be streamed
 * @param onResponse receives a streamed response once its head was received
 */
public record CallStreams(
        Optional<StreamedBody> requestBody,
        Predicate<HttpResponseData> acceptsResponse,
        Consumer<StreamedResponse> onResponse) {
    /** Streams of a call whose request and response are complete in memory. */
    public static final CallStreams NONE = new CallStreams(Optional.empty(), head -> false, response -> {});
}
