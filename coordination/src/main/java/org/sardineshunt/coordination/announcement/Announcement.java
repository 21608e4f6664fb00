package org.sardineshunt.coordination.announcement;

import java.util.Objects;

/**
 * What an upstream says of itself. Immutable and thread-safe.
 *
 * @param id name of this start of the upstream
 * @param startedEpochMillis epoch milliseconds of its start; 0 when unknown
 * @param sequence rises with each announcement of one start
 * @param service its service
 * @param slots requests that it runs at once, at least 1
 * @param phase whether it takes work
 * @param warmUpMillis how much longer it stays slow after its start
 */
public record Announcement(
        String id, long startedEpochMillis, long sequence, String service, int slots, Phase phase, long warmUpMillis) {
    /** Checks the values. */
    public Announcement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service of '" + id + "'");
        Objects.requireNonNull(phase, "phase of '" + id + "'");
        if (slots < 1) {
            throw new IllegalArgumentException("upstream '" + id + "': " + slots + " slots are too few");
        }
    }

    /** Returns the same announcement with another phase. */
    public Announcement withPhase(Phase newPhase) {
        return new Announcement(id, startedEpochMillis, sequence, service, slots, newPhase, warmUpMillis);
    }

    /** Phases of one start, in the only order in which they follow one another. */
    public enum Phase {
        /** Takes work. */
        READY,
        /** Finishes what it has and takes nothing new. */
        DRAINING,
        /** Has said that it leaves. */
        LEFT;

        private static final Phase[] VALUES = values();

        /** Returns the phase with an ordinal, or {@link #LEFT} for an unknown one. */
        public static Phase ofOrdinal(int ordinal) {
            return ordinal >= 0 && ordinal < VALUES.length ? VALUES[ordinal] : LEFT;
        }
    }
}
