package org.sardineshunt.engine.backendserver;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.sardineshunt.coordination.idempotency.AttemptId;

/** The attempts that wait or run at a home, and the memory of their bodies. Confined to the control thread. */
final class PendingAttempts {
    // Bounds the bodies that wait or run here, whatever share of the memory budget is free.
    private static final long MAXIMUM_BODY_BYTES = 8 << 20;

    private final Map<AttemptId, PendingAttempt> attemptById = new HashMap<>();
    private long bodyBytes;
    private int streamedBodies;

    void add(PendingAttempt pending) {
        attemptById.put(pending.id(), pending);
        bodyBytes += pending.attempt().getBody().size();
        streamedBodies += pending.attempt().getBodyFollows() ? 1 : 0;
    }

    Optional<PendingAttempt> find(AttemptId id) {
        return Optional.ofNullable(attemptById.get(id));
    }

    Optional<PendingAttempt> remove(AttemptId id) {
        Optional<PendingAttempt> removed = Optional.ofNullable(attemptById.remove(id));
        removed.ifPresent(pending -> {
            bodyBytes -= pending.attempt().getBody().size();
            streamedBodies -= pending.attempt().getBodyFollows() ? 1 : 0;
        });
        return removed;
    }

    int size() {
        return attemptById.size();
    }

    /** Returns the number of attempts whose body is streamed. */
    int streamedBodies() {
        return streamedBodies;
    }

    /** Returns whether the bodies of all attempts together exceed their limit. */
    boolean exceedMemory() {
        return bodyBytes > MAXIMUM_BODY_BYTES;
    }
}
