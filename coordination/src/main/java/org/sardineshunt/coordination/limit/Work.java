package org.sardineshunt.coordination.limit;

import java.util.Objects;

/**
 * A request that waits for, or holds, a slot.
 *
 * @param <T> the payload
 * @param id unique within the gate, not null
 * @param rank name of its rank, not null
 * @param deadlineMillis monotonic time by which the answer must be there
 * @param payload what the caller of the gate attaches
 */
public record Work<T>(String id, String rank, long deadlineMillis, T payload) {
    /** Checks the values. */
    public Work {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(rank, "rank of '" + id + "'");
    }
}
