package org.sardineshunt.coordination.idempotency;

import java.util.Objects;
import java.util.Optional;

/**
 * Names one attempt of a request. The entry node numbers its attempts in the order in which it sends them. Immutable
 * and thread-safe.
 *
 * @param entryId ID of the entry node
 * @param incarnation incarnation of its process
 * @param number number that increases with each attempt of that process
 */
public record AttemptId(String entryId, long incarnation, long number) {
    private static final char SEPARATOR = '/';

    /** Validates that the entry's ID is not null. */
    public AttemptId {
        Objects.requireNonNull(entryId, "entryId");
    }

    /** Returns the ID with the given text; empty if the text is not that of an ID. */
    public static Optional<AttemptId> parse(String text) {
        int numberAt = text.lastIndexOf(SEPARATOR);
        int incarnationAt = text.lastIndexOf(SEPARATOR, numberAt - 1);
        if (incarnationAt < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new AttemptId(
                    text.substring(0, incarnationAt),
                    Long.parseLong(text.substring(incarnationAt + 1, numberAt)),
                    Long.parseLong(text.substring(numberAt + 1))));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }

    /** Returns the text from which {@link #parse} restores this ID. */
    @Override
    public String toString() {
        return entryId + SEPARATOR + incarnation + SEPARATOR + number;
    }
}
