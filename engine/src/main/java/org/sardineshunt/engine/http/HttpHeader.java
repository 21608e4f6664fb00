package org.sardineshunt.engine.http;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A header field of a request or a response. Immutable and thread-safe.
 *
 * @param name name as sent
 * @param value value as sent
 */
public record HttpHeader(String name, String value) {
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    /** Returns the value of the first header with the given name, ignoring case. */
    public static Optional<String> firstValue(List<HttpHeader> headers, String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }

    /**
     * Returns the headers without those that concern only one connection: the hop-by-hop headers, the ones that
     * {@code Connection} lists, {@code Content-Length} and {@code Expect}.
     */
    public static List<HttpHeader> endToEnd(List<HttpHeader> headers) {
        Set<String> connectionOptions = headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("connection"))
                .flatMap(header -> Stream.of(header.value().split(",")))
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return headers.stream()
                .filter(header -> {
                    String name = header.name().toLowerCase(Locale.ROOT);
                    return !NOT_FORWARDED.contains(name) && !connectionOptions.contains(name);
                })
                .toList();
    }
}
