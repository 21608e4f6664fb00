package org.sardineshunt.kit;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A number of bytes as written in a settings file, such as {@code "512B"}, {@code "64KiB"} or {@code "1MiB"}.
 * Immutable.
 *
 * @param bytes number of bytes, at least 0
 */
public record ByteSize(int bytes) {
    private static final Pattern FORMAT = Pattern.compile("(\\d{1,9})(B|KiB|MiB)");
    private static final Map<String, Integer> BYTES_PER_UNIT = Map.of("B", 1, "KiB", 1 << 10, "MiB", 1 << 20);

    /**
     * Parses a size with its unit.
     *
     * @throws IllegalArgumentException if the text has no unit or an unknown one
     * @throws ArithmeticException if the size is 2 GiB or more
     */
    @JsonCreator
    public static ByteSize parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    "size '" + text + "' is not a whole number with one of the units B, KiB, MiB");
        }
        return new ByteSize(
                Math.multiplyExact(Integer.parseInt(matcher.group(1)), BYTES_PER_UNIT.get(matcher.group(2))));
    }

    /** Returns the size in bytes with the unit B. */
    @JsonValue
    public String text() {
        return bytes + "B";
    }
}
