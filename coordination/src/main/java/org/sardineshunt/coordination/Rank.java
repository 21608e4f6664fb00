package org.sardineshunt.coordination;

import java.util.Objects;

/**
 * A priority class of requests.
 *
 * <p>Ranks of lower order are served first. The guaranteed share keeps a rank served while other ranks are overloaded.
 *
 * @param name unique name, not null
 * @param order position among the ranks, not negative; 0 is the most urgent
 * @param guaranteedShare share of the slots, from 0 to 1, that the rank receives whenever it has requests waiting
 */
public record Rank(String name, int order, double guaranteedShare) {
    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if the order is negative or the guaranteed share is not between 0 and 1
     */
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
