package org.sardineshunt.kit;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;

/**
 * Reads and writes JSON. Unknown keys, wrong types and missing numbers are errors that name their position.
 * Thread-safe.
 */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(com.fasterxml.jackson.databind.MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();

    private Json() {}

    /** Reads a settings file, in which comments are allowed; the error names file, line and column. */
    public static <T> Either<String, T> readFile(Path file, Class<T> type) {
        try {
            return read(file.toString(), Files.readString(file), type);
        } catch (IOException unreadable) {
            return Either.left(file + ": cannot be read: " + unreadable.getMessage());
        }
    }

    /**
     * Reads a JSON text; the error names source, line and column.
     *
     * @param source name of the text in errors
     */
    public static <T> Either<String, T> read(String source, String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            return value == null ? Either.left(source + ": value is null") : Either.right(value);
        } catch (JsonProcessingException malformed) {
            return Either.left(describeError(source, text, malformed));
        }
    }

    /** Reads an HTTP body in UTF-8; the error names line and column. */
    public static <T> Either<String, T> read(byte[] body, Class<T> type) {
        return read("body", new String(body, StandardCharsets.UTF_8), type);
    }

    /** Reads an HTTP body as a tree of nodes, without binding it to a type. */
    public static Either<String, JsonNode> readTree(byte[] body) {
        return read(body, JsonNode.class);
    }

    /** Returns a value as JSON on one line. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalArgumentException("value cannot be written as JSON: " + value, impossible);
        }
    }

    /** Returns a value as indented JSON. */
    public static String writePretty(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalArgumentException("value cannot be written as JSON: " + value, impossible);
        }
    }

    private static String describeError(String source, String text, JsonProcessingException malformed) {
        JsonLocation location = malformed instanceof UnrecognizedPropertyException unknown
                ? locateUnknownKey(text, unknown)
                : malformed.getLocation();
        String position = location == null
                ? source
                : source + ": line " + location.getLineNr() + ", column " + location.getColumnNr();
        return position + ": " + keyPath(malformed) + explanation(malformed);
    }

    // Jackson reports unknown keys at the end of their object; returns the position of the key itself.
    private static JsonLocation locateUnknownKey(String text, UnrecognizedPropertyException unknown) {
        String pointer = unknown.getPath().stream()
                .map(reference -> reference.getFieldName() == null
                        ? Integer.toString(reference.getIndex())
                        : reference.getFieldName())
                .collect(Collectors.joining("/", "/", ""));
        try (JsonParser parser = MAPPER.createParser(text)) {
            while (parser.nextToken() != null) {
                boolean key = parser.currentToken() == JsonToken.FIELD_NAME;
                if (key && parser.getParsingContext().pathAsPointer().toString().equals(pointer)) {
                    return parser.currentTokenLocation();
                }
            }
        } catch (IOException unreadable) {
            return unknown.getLocation();
        }
        return unknown.getLocation();
    }

    private static String keyPath(JsonProcessingException malformed) {
        if (!(malformed instanceof JsonMappingException mapping)
                || mapping.getPath().isEmpty()) {
            return "";
        }
        return mapping.getPath().stream()
                        .map(reference -> reference.getFieldName() == null
                                ? "[" + reference.getIndex() + "]"
                                : reference.getFieldName())
                        .collect(Collectors.joining("."))
                + ": ";
    }

    private static String explanation(JsonProcessingException malformed) {
        if (malformed instanceof UnrecognizedPropertyException unknown) {
            return "unknown key '" + unknown.getPropertyName() + "'; allowed: "
                    + unknown.getKnownPropertyIds().stream()
                            .map(String::valueOf)
                            .sorted()
                            .collect(Collectors.joining(", "));
        }
        if (String.valueOf(malformed.getOriginalMessage()).startsWith("Cannot map `null`")) {
            return "a value is required";
        }
        Throwable cause = malformed.getCause();
        return cause instanceof IllegalArgumentException ? cause.getMessage() : malformed.getOriginalMessage();
    }
}
