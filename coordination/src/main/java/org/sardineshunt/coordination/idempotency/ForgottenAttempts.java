package org.sardineshunt.coordination.idempotency;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The attempts whose outcomes are no longer kept, as one number for each process of an entry node: attempts up to it may
 * have been forgotten. Nothing expires here, so that an inquiry or a delayed copy counts as forgotten however late it
 * arrives. Not thread-safe.
 */
final class ForgottenAttempts {
    // Older processes of an entry are represented by the newest of them, which bounds the memory.
    private static final int MAXIMUM_PROCESSES_PER_ENTRY = 8;

    private final Map<String, Processes> processesByEntry = new HashMap<>();

    /** Records that the outcome of an attempt is no longer kept. */
    void add(AttemptId id) {
        processesByEntry.computeIfAbsent(id.entryId(), entry -> new Processes()).add(id);
    }

    /** Returns whether the attempt may have been known here and forgotten. */
    boolean mayContain(AttemptId id) {
        Processes processes = processesByEntry.get(id.entryId());
        return processes != null && processes.mayContain(id);
    }

    private static final class Processes {
        private final TreeMap<Long, Long> highestNumberByIncarnation = new TreeMap<>();
        private long lastRemovedIncarnation = Long.MIN_VALUE;

        private void add(AttemptId id) {
            if (id.incarnation() <= lastRemovedIncarnation) {
                return;
            }
            highestNumberByIncarnation.merge(id.incarnation(), id.number(), Math::max);
            if (highestNumberByIncarnation.size() > MAXIMUM_PROCESSES_PER_ENTRY) {
                lastRemovedIncarnation =
                        highestNumberByIncarnation.pollFirstEntry().getKey();
            }
        }

        private boolean mayContain(AttemptId id) {
            Long highestNumber = highestNumberByIncarnation.get(id.incarnation());
            return highestNumber == null ? id.incarnation() <= lastRemovedIncarnation : id.number() <= highestNumber;
        }
    }
}
