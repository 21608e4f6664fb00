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
     * Takes the news that an upstream leaves.
     *
     * @param born epoch milliseconds of its start, or 0 if the news doesn't say
     * @return whether it changed what is known
     */
    public boolean leave(String id, long born) {
        if (current == null || !current.id().equals(id)) {
            return false;
        }
        boolean otherStart = born != 0 && current.born() != 0 && born != current.born();
        if (otherStart || current.phase() == Phase.LEFT) {
            return false;
        }
        current = current.with(Phase.LEFT);
        return true;
    }

    private boolean isSameStart(String id, long born) {
        return current.id().equals(id) && current.born() == born;
    }

    private boolean isLaterStart(String id, long born) {
        if (born != current.born()) {
            return born > current.born();
        }
        return !current.id().equals(id) && current.phase() == Phase.LEFT;
    }
}
