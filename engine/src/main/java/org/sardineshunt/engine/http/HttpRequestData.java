package org.sardineshunt.engine.http;

import java.util.List;
import java.util.Optional;

/**
 * A complete request. Immutable and thread-safe; the body array must not be modified.
 *
 * @param method HTTP method
 * @param target path and query as sent
 * @param headers headers in the order in which they were sent
 * @param body complete body; empty if there is none
 */
public record HttpRequestData(String method, String target, List<HttpHeader> headers, byte[] body) {
    /** Returns the value of the first header with the given name, ignoring case. */
    public Optional<String> header(String name) {
        return HttpHeader.firstValue(headers, name);
    }

    /** Returns the path without the query. */
    public String path() {
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target : target.substring(0, queryStart);
    }
}
