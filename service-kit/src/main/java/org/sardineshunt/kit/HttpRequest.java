package org.sardineshunt.kit;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import io.vavr.control.Option;

/**
 * A received HTTP request with its complete body. Immutable, but the body is not copied.
 *
 * @param method method in upper case
 * @param path path without query
 * @param query query without its question mark, may be empty
 * @param headers headers by name; names are compared without regard to case
 * @param body complete body, may be empty
 * @param pathParameters values of the variables in the route's pattern, by name
 */
public record HttpRequest(
        String method,
        String path,
        String query,
        Map<String, String> headers,
        byte[] body,
        Map<String, String> pathParameters) {
    /** Copies the headers into a map that ignores case. */
    public HttpRequest {
        Objects.requireNonNull(method, "method");
        Map<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        copy.putAll(headers);
        headers = copy;
    }

    /** Returns the value of a header, if the request has it. */
    public Option<String> header(String name) {
        return Option.of(headers.get(name));
    }

    /** Returns the decoded value of the first query parameter with a name, if there is one. */
    public Option<String> queryParameter(String name) {
        return io.vavr.collection.Stream.of(query.split("&"))
                .filter(pair -> pair.startsWith(name + "="))
                .map(pair -> java.net.URLDecoder.decode(
                        pair.substring(name.length() + 1), java.nio.charset.StandardCharsets.UTF_8))
                .headOption();
    }

    /** Returns the request target: path and query as received. */
    public String target() {
        return query.isEmpty() ? path : path + '?' + query;
    }
}
