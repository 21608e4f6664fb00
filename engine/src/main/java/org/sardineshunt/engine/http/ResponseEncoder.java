package org.sardineshunt.engine.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** A response encoder that sends no body in response to {@code HEAD}. Confined to the event loop. */
final class ResponseEncoder extends HttpResponseEncoder {
    private boolean respondingToHead;

    /** Sets whether the next response is one to {@code HEAD}. */
    void setRespondingToHead(boolean isHead) {
        respondingToHead = isHead;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return respondingToHead || super.isContentAlwaysEmpty(response);
    }
}
