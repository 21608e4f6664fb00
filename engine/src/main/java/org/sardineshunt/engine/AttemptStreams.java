package org.sardineshunt.engine;

import java.util.Optional;
import java.util.function.Consumer;

import org.sardineshunt.engine.http.StreamedBody;
import org.sardineshunt.engine.http.StreamedResponse;

/**
 * Streamed bodies of an attempt. Immutable.
 *
 * @param requestBody rest of the request's body; empty if the attempt contains all of it
 * @param onResponse receives a streamed response, before the answer; empty if the response must not be streamed
 */
public record AttemptStreams(Optional<StreamedBody> requestBody, Optional<Consumer<StreamedResponse>> onResponse) {
    /** Streams of an attempt whose request and response are complete in memory. */
    public static final AttemptStreams NONE = new AttemptStreams(Optional.empty(), Optional.empty());
}
