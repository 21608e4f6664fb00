package org.sardineshunt.kit;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A duration as written in a settings file, such as {@code "250ms"}, {@code "3s"}, {@code "10m"} or {@code "2h"}.
 * Immutable.
 *
 * @param millis length in milliseconds, at least 0
 */
public record TimeSpan(long millis) {
    private static final Pattern FORMAT = Pattern.compile("(\\d{1,12})(ms|s|m|h)");
    private static final Map<String, Long> MILLIS_PER_UNIT =
            Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L);

    /**
     * Parses a duration with its unit.
     *
     * @throws IllegalArgumentException if the text has no unit or an unknown one
     */
    @JsonCreator
    public static TimeSpan parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    "duration '" + text + "' is not a whole number with one of the units ms, s, m, h");
        }
        return new TimeSpan(
                Math.multiplyExact(Long.parseLong(matcher.group(1)), MILLIS_PER_UNIT.get(matcher.group(2))));
    }

    /** Returns the duration in milliseconds with the unit ms. */
    @JsonValue
    public String text() {
        return millis + "ms";
    }
}
