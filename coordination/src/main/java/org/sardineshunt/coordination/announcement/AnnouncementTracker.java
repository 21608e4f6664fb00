package org.sardineshunt.coordination.announcement;

import java.util.Optional;

import org.sardineshunt.coordination.announcement.Announcement.Phase;

/**
 * Keeps the newest announcement of the upstream beside a node, whatever order announcements arrive in.
 *
 * <p>A later start replaces an earlier one, by the time of its start. Within one start the sequence rises and the phase
 * only moves towards leaving, so that a delayed announcement never brings a leaving upstream back. Not thread-safe.
 */
public final class AnnouncementTracker {
    private Announcement current;

    /** Returns the newest announcement. */
    public Optional<Announcement> current() {
        return Optional.ofNullable(current);
    }

    /** Takes an announcement; returns whether it changed what is known. */
    public boolean merge(Announcement announcement) {
        if (current == null || isLaterStart(announcement.id(), announcement.startedEpochMillis())) {
            current = announcement;
            return true;
        }
        if (!isSameStart(announcement.id(), announcement.startedEpochMillis())
                || announcement.sequence() <= current.sequence()) {
            return false;
        }
        Phase phase = announcement.phase().compareTo(current.phase()) > 0 ? announcement.phase() : current.phase();
        current = announcement.withPhase(phase);
        return true;
    }

    /**
     * Takes the news that an upstream leaves, also when nothing is known of it: then no start of that name up to now comes
     * back.
     *
     * @param startedEpochMillis epoch milliseconds of its start, or 0 if the news doesn't say
     * @param nowEpochMillis the time of day
     * @return whether it changed what is known
     */
    public boolean markLeft(String id, long startedEpochMillis, long nowEpochMillis) {
        if (current == null) {
            long lastStartEpochMillis = startedEpochMillis == 0 ? nowEpochMillis : startedEpochMillis;
            current = new Announcement(id, lastStartEpochMillis, 0, "", 1, Phase.LEFT, 0);
            return true;
        }
        if (!current.id().equals(id) || current.phase() == Phase.LEFT) {
            return false;
        }
        if (startedEpochMillis != 0
                && current.startedEpochMillis() != 0
                && startedEpochMillis != current.startedEpochMillis()) {
            return false;
        }
        current = current.withPhase(Phase.LEFT);
        return true;
    }

    private boolean isSameStart(String id, long startedEpochMillis) {
        return current.id().equals(id) && current.startedEpochMillis() == startedEpochMillis;
    }

    private boolean isLaterStart(String id, long startedEpochMillis) {
        boolean sameId = current.id().equals(id);
        boolean bothStartsKnown = startedEpochMillis != 0 && current.startedEpochMillis() != 0;
        if (sameId || bothStartsKnown && current.phase() != Phase.LEFT) {
            return startedEpochMillis > current.startedEpochMillis();
        }
        // Another upstream has taken the place of one that left, or one of the two doesn't say when it started.
        return true;
    }
}
