package org.sardineshunt.engine.http;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One header field of a request or an answer. Immutable and thread-safe.
 *
 * @param name name as it was sent
 * @param value value as it was sent
 */
public record HttpField(String name, String value) {
    private static final Set<String> OF_ONE_CONNECTION = Set.of(
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

    /** Returns the value of the first field with a name, in any case. */
    public static Optional<String> first(List<HttpField> fields, String name) {
        return fields.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HttpField::value)
                .findFirst();
    }

    /** Returns the fields without those that concern only one connection. */
    public static List<HttpField> endToEnd(List<HttpField> fields) {
        Set<String> named = fields.stream()
                .filter(field -> field.name().equalsIgnoreCase("connection"))
                .flatMap(field -> Stream.of(field.value().split(",")))
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return fields.stream()
                .filter(field -> {
                    String name = field.name().toLowerCase(Locale.ROOT);
                    return !OF_ONE_CONNECTION.contains(name) && !named.contains(name);
                })
                .toList();
    }
}
