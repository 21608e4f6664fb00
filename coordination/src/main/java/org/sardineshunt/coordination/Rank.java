package org.sardineshunt.coordination;

import java.util.Objects;

/**
 * A class of work. Lower order is served first; the guaranteed share is what the rank keeps while others flood.
 *
 * @param name unique name, not null
 * @param order position, 0 is the most urgent
 * @param guaranteedShare part of the slots between 0 and 1 that the rank receives whenever it has work waiting
 */
public record Rank(String name, int order, double guaranteedShare) {
    /** Checks the values. */
    public Rank {
        Objects.requireNonNull(name, "name");
        if (order < 0) {
            throw new IllegalArgumentException("rank '" + name + "': order " + order + " is negative");
        }
        if (!(guaranteedShare >= 0 && guaranteedShare <= 1)) {
            throw new IllegalArgumentException(
                    "rank '" + name + "': guaranteed share " + guaranteedShare + " is not between 0 and 1");
        }
    }
}
