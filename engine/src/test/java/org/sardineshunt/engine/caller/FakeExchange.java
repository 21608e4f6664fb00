package org.sardineshunt.engine.caller;

import org.sardineshunt.engine.http.HttpExchange;
import org.sardineshunt.engine.http.HttpRequestData;
import org.sardineshunt.engine.http.HttpResponseData;

/** A request without a connection, whose caller never disconnects. Immutable and thread-safe. */
final class FakeExchange implements HttpExchange {
    private final HttpRequestData request;
    private final long millisSinceReceived;

    FakeExchange(HttpRequestData request, long millisSinceReceived) {
        this.request = request;
        this.millisSinceReceived = millisSinceReceived;
    }

    @Override
    public HttpRequestData request() {
        return request;
    }

    @Override
    public long millisSinceReceived() {
        return millisSinceReceived;
    }

    @Override
    public void respond(HttpResponseData response) {
        // No test of this package reads the response.
    }

    @Override
    public void onDisconnect(Runnable action) {
        // This caller never disconnects.
    }

    @Override
    public void onEviction(Runnable action) {}
}
