package org.sardineshunt.coordination.announcement;

import java.util.Optional;

import org.sardineshunt.coordination.announcement.Announcement.Phase;

/**
 * Tracks the newest announcement of a node's upstream, in whatever order the announcements arrive.
 *
 * <p>A start with a later start time replaces an earlier one. Within one start, announcements with a lower or equal
 * sequence are ignored and the phase never goes back, so that a delayed announcement can't make a leaving upstream
 * {@link Phase#READY} again. Not thread-safe.
 */
public final class AnnouncementTracker {
    private Announcement current;

    /** Returns the newest announcement; empty if there has been none. */
    public Optional<Announcement> current() {
        return Optional.ofNullable(current);
    }

    /**
     * Merges an announcement into the current one.
     *
     * @return whether the current announcement changed
     */
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
     * Merges what this process stored before a restart. An announcement of the same start that has arrived since, maybe
     * late, doesn't take the upstream back to an earlier phase.
     *
     * @return whether the current announcement changed
     */
    public boolean restore(Announcement stored) {
        if (current == null) {
            current = stored;
            return true;
        }
        if (isSameStart(stored.id(), stored.startedEpochMillis())) {
            boolean laterPhase = stored.phase().compareTo(current.phase()) > 0;
            current = laterPhase ? current.withPhase(stored.phase()) : current;
            return laterPhase;
        }
        boolean bothStartsKnown = stored.startedEpochMillis() != 0 && current.startedEpochMillis() != 0;
        return bothStartsKnown && merge(stored);
    }

    /**
     * Records that an upstream leaves, even if there is no announcement yet: a restarted node may read the stored
     * announcement of the upstream only afterwards, which must not make the upstream {@link Phase#READY} again.
     *
     * @param startedEpochMillis start time of the leaving upstream in epoch milliseconds; 0 if unknown, for any start
     *     up to now
     * @param nowEpochMillis current time in epoch milliseconds
     * @return whether the current announcement changed
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
        // The upstreams have different ids, and the current one has left or one of the start times is unknown.
        return true;
    }
}
