package org.sardineshunt.engine.http;

import java.util.List;
import java.util.Optional;

/**
 * A whole request. Immutable; the body must not be changed. Thread-safe.
 *
 * @param method method
 * @param target path and query as they were sent
 * @param headers header fields in the order in which they came
 * @param body whole body
 */
public record HttpRequestData(String method, String target, List<HttpHeader> headers, byte[] body) {
    /** Returns the first value of a header field. */
    public Optional<String> header(String name) {
        return HttpHeader.firstValue(headers, name);
    }

    /** Returns the path without the query. */
    public String path() {
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target : target.substring(0, queryStart);
    }
}
