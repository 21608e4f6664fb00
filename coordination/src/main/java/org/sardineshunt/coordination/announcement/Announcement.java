package org.sardineshunt.coordination.announcement;

import java.util.Objects;

/**
 * State that an upstream reports about itself. A <em>start</em> is one lifetime of the upstream's process. Immutable
 * and thread-safe.
 *
 * @param id name of this start of the upstream
 * @param startedEpochMillis start time in epoch milliseconds; 0 if unknown
 * @param sequence number that increases with each announcement of one start
 * @param service name of the service that the upstream serves
 * @param slots number of requests that it runs concurrently, at least 1
 * @param phase whether it accepts work
 * @param warmUpMillis milliseconds for which it is expected to remain slow after its start
 */
public record Announcement(
        String id, long startedEpochMillis, long sequence, String service, int slots, Phase phase, long warmUpMillis) {
    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if {@code slots} is less than 1
     */
    public Announcement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service of '" + id + "'");
        Objects.requireNonNull(phase, "phase of '" + id + "'");
        if (slots < 1) {
            throw new IllegalArgumentException("upstream '" + id + "': " + slots + " slots, expected 1 or more");
        }
    }

    /** Returns whether both announcements are of the same start. */
    public boolean isSameStart(Announcement other) {
        return id.equals(other.id) && startedEpochMillis == other.startedEpochMillis;
    }

    /** Returns whether this is of a later start than the other, or of the same start in the same or a later phase. */
    public boolean supersedes(Announcement other) {
        return isSameStart(other) ? phase.compareTo(other.phase) >= 0 : startedEpochMillis > other.startedEpochMillis;
    }

    /** Returns a copy of this announcement with another phase. */
    public Announcement withPhase(Phase newPhase) {
        return new Announcement(id, startedEpochMillis, sequence, service, slots, newPhase, warmUpMillis);
    }

    /**
     * Phase of one start. A start passes through the phases only in this order, in which they are compared; other nodes
     * receive them by ordinal.
     */
    public enum Phase {
        /** Accepts work. */
        READY,
        /** Finishes the work that it has accepted and accepts no more. */
        DRAINING,
        /** Has announced that it leaves. */
        LEFT;

        private static final Phase[] VALUES = values();

        /** Returns the phase with an ordinal, or {@link #LEFT} if there is no such phase. */
        public static Phase ofOrdinal(int ordinal) {
            return ordinal >= 0 && ordinal < VALUES.length ? VALUES[ordinal] : LEFT;
        }
    }
}
