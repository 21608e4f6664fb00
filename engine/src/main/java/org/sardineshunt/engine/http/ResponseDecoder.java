package org.sardineshunt.engine.http;

import java.util.function.Supplier;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** A response decoder that tells whether it holds bytes of an incomplete message. Confined to the event loop. */
final class ResponseDecoder extends HttpResponseDecoder {
    private final Supplier<String> requestMethod;

    /**
     * Creates a decoder.
     *
     * @param requestMethod supplies the method of the request whose response is due; a response to {@code HEAD} has no
     *     body
     */
    ResponseDecoder(HttpDecoderConfig config, Supplier<String> requestMethod) {
        super(config);
        this.requestMethod = requestMethod;
    }

    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.name().equals(requestMethod.get()) || super.isContentAlwaysEmpty(message);
    }
}
