package org.sardineshunt.engine.http;

import java.util.List;
import java.util.Optional;

/**
 * A whole answer. Immutable; the body must not be changed. Thread-safe.
 *
 * @param status status code
 * @param headers header fields in the order in which they came
 * @param body whole body
 */
public record HttpResponseData(int status, List<HttpHeader> headers, byte[] body) {
    /** Returns the first value of a header field. */
    public Optional<String> header(String name) {
        return HttpHeader.firstValue(headers, name);
    }
}
