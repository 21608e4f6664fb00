package org.sardineshunt.engine.http;

import java.util.List;
import java.util.Optional;

/**
 * A complete response. Immutable and thread-safe; the body array must not be modified.
 *
 * @param status HTTP status code
 * @param headers headers in the order in which they were sent
 * @param body complete body; empty if there is none
 */
public record HttpResponseData(int status, List<HttpHeader> headers, byte[] body) {
    /** Returns the value of the first header with the given name, ignoring case. */
    public Optional<String> header(String name) {
        return HttpHeader.firstValue(headers, name);
    }
}
