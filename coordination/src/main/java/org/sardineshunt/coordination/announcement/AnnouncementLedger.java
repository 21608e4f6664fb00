package org.sardineshunt.coordination.announcement;

import java.util.Optional;

import org.sardineshunt.coordination.announcement.Announcement.Phase;

/**
 * Keeps the newest announcement of the upstream beside a node, whatever order announcements arrive in.
 *
 * <p>A later start replaces an earlier one, by the time of its start. Within one start the sequence rises and the phase
 * only moves towards leaving, so that a delayed announcement never brings a leaving upstream back. Not thread-safe.
 */
public final class AnnouncementLedger {
    private Announcement current;

    /** Returns the newest announcement. */
    public Optional<Announcement> current() {
        return Optional.ofNullable(current);
    }

    /** Takes an announcement; returns whether it changed what is known. */
    public boolean announce(Announcement announcement) {
        if (current == null || isLaterStart(announcement.id(), announcement.born())) {
            current = announcement;
            return true;
        }
        if (!isSameStart(announcement.id(), announcement.born()) || announcement.sequence() <= current.sequence()) {
            return false;
        }
        Phase phase = announcement.phase().compareTo(current.phase()) > 0 ? announcement.phase() : current.phase();
        current = announcement.with(phase);
        return true;
    }

    /**
     * Takes the news that an upstream leaves, also when nothing is known of it: then no start of that name up to now comes
     * back.
     *
     * @param born epoch milliseconds of its start, or 0 if the news doesn't say
     * @param nowEpochMillis the time of day
     * @return whether it changed what is known
     */
    public boolean leave(String id, long born, long nowEpochMillis) {
        if (current == null) {
            long lastBorn = born == 0 ? nowEpochMillis : born;
            current = new Announcement(id, lastBorn, 0, "", 1, Phase.LEFT, 0);
            return true;
        }
        if (!current.id().equals(id) || current.phase() == Phase.LEFT) {
            return false;
        }
        if (born != 0 && current.born() != 0 && born != current.born()) {
            return false;
        }
        current = current.with(Phase.LEFT);
        return true;
    }

    private boolean isSameStart(String id, long born) {
        return current.id().equals(id) && current.born() == born;
    }

    private boolean isLaterStart(String id, long born) {
        boolean sameName = current.id().equals(id);
        boolean bothKnown = born != 0 && current.born() != 0;
        if (sameName || bothKnown && current.phase() != Phase.LEFT) {
            return born > current.born();
        }
        // Another upstream has taken the place of one that left, or one of the two doesn't say when it started.
        return true;
    }
}
