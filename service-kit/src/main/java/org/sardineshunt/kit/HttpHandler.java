package org.sardineshunt.kit;

import java.util.concurrent.CompletionStage;

/** Handles HTTP requests without blocking the calling thread. */
@FunctionalInterface
public interface HttpHandler {
    /** Returns the response to a request; a failed stage becomes status 500. */
    CompletionStage<HttpResponse> handle(HttpRequest request);
}
