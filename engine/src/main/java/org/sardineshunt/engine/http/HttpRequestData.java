package org.sardineshunt.engine.http;

import java.util.List;
import java.util.Optional;

/**
 * A whole request. Immutable; the body must not be changed. Thread-safe.
 *
 * @param method method
 * @param target path and query as they were sent
 * @param fields header fields in the order in which they came
 * @param body whole body
 */
public record HttpRequestData(String method, String target, List<HttpField> fields, byte[] body) {
    /** Returns the first value of a header field. */
    public Optional<String> field(String name) {
        return HttpField.first(fields, name);
    }

    /** Returns the path without the query. */
    public String path() {
        int question = target.indexOf('?');
        return question < 0 ? target : target.substring(0, question);
    }
}
