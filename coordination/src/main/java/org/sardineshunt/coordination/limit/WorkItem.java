package org.sardineshunt.coordination.limit;

import java.util.Objects;

/**
 * A request that waits for, or holds, a slot.
 *
 * @param <T> type of the payload
 * @param id unique within the queue, not null
 * @param rank name of its rank, not null
 * @param account name of its client account, in whose turn it is served; empty if it has none, not null
 * @param deadlineMillis monotonic time by which the answer must have arrived
 * @param dueMillis monotonic time until which an answer is on time, at most the deadline
 * @param expectedServiceMillis how long it is expected to hold its slot; 0 when unknown
 * @param payload what the user of the queue attaches to the request
 */
public record WorkItem<T>(
        String id,
        String rank,
        String account,
        long deadlineMillis,
        long dueMillis,
        double expectedServiceMillis,
        T payload) {
    /** Validates the values. */
    public WorkItem {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(rank, "rank of '" + id + "'");
        Objects.requireNonNull(account, "account of '" + id + "'");
    }

    /** Creates work without a client account. */
    public WorkItem(
            String id, String rank, long deadlineMillis, long dueMillis, double expectedServiceMillis, T payload) {
        this(id, rank, "", deadlineMillis, dueMillis, expectedServiceMillis, payload);
    }

    /** Creates work that is due at its deadline and whose service time is unknown. */
    public WorkItem(String id, String rank, long deadlineMillis, T payload) {
        this(id, rank, deadlineMillis, deadlineMillis, 0, payload);
    }
}
