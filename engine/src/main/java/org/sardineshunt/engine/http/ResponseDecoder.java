package org.sardineshunt.engine.http;

import java.util.function.Supplier;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * A response decoder that accepts only valid status lines and tells whether it holds bytes of an incomplete message.
 * Confined to the event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

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

    // The superclass takes any number for a status and any word for the protocol's name.
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!VERSION.matcher(initialLine[0]).matches()
                || !STATUS.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException(
                    "status line starts with '" + initialLine[0] + ' ' + initialLine[1] + "'");
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.name().equals(requestMethod.get()) || super.isContentAlwaysEmpty(message);
    }
}
