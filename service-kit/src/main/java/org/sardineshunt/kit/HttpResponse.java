package org.sardineshunt.kit;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An HTTP response with its complete body. Immutable, but the body is not copied.
 *
 * @param status status code
 * @param headers headers in order
 * @param body complete body, may be empty
 */
public record HttpResponse(int status, List<Map.Entry<String, String>> headers, byte[] body) {
    /** Copies the headers. */
    public HttpResponse {
        headers = List.copyOf(headers);
    }

    /** Returns a response with a value as JSON. */
    public static HttpResponse json(int status, Object value) {
        return text(status, "application/json", Json.write(value) + "\n");
    }

    /** Returns a response with problem details (RFC 9457). */
    public static HttpResponse problem(int status, String title, String detail) {
        return text(status, "application/problem+json", Json.write(new Problem(title, status, detail)) + "\n");
    }

    /** Returns a response with a text in UTF-8. */
    public static HttpResponse text(int status, String mediaType, String text) {
        return new HttpResponse(
                status, List.of(Map.entry("Content-Type", mediaType)), text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a copy of this response with one more header. */
    public HttpResponse withHeader(String name, String value) {
        List<Map.Entry<String, String>> extended = new ArrayList<>(headers);
        extended.add(Map.entry(name, value));
        return new HttpResponse(status, extended, body);
    }

    private record Problem(String title, int status, String detail) {}
}
