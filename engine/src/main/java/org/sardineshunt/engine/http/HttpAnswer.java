package org.sardineshunt.engine.http;

import java.util.List;
import java.util.Optional;

/**
 * A whole answer. Immutable; the body must not be changed. Thread-safe.
 *
 * @param status status code
 * @param fields header fields in the order in which they came
 * @param body whole body
 */
public record HttpAnswer(int status, List<HttpField> fields, byte[] body) {
    /** Returns the first value of a header field. */
    public Optional<String> field(String name) {
        return HttpField.first(fields, name);
    }
}
