package org.sardineshunt.coordination.announcement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.sardineshunt.coordination.announcement.Announcement.Phase;

/**
 * Tracks the newest announcement of a node's upstream, in whatever order the announcements arrive.
 *
 * <p>Starts are ordered by their start times, those with the same time by their ids; only a later start replaces the
 * current one, whether that has left or not. If one of two start times is unknown, the start that was announced first
 * counts as the earlier one. A start that has left or was replaced never comes back. Within one start, announcements
 * with a lower or equal sequence are ignored and the phase never goes back. So no delayed announcement can make a
 * leaving upstream {@link Phase#READY} again. Not thread-safe.
 */
public final class AnnouncementTracker {
    // By id, the start time up to which the starts with that id have ended; one entry for each id that was announced.
    private final Map<String, Long> endedStarts = new HashMap<>();
    private Announcement current;

    // Whether the start time of the current start is only the latest possible one.
    private boolean startAssumed;

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
        if (current == null) {
            current = announcement;
            return true;
        }
        if (!announcement.isSameStart(current)) {
            return replaceIfLater(announcement);
        }
        if (announcement.sequence() <= current.sequence()) {
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
        if (stored.isSameStart(current)) {
            boolean laterPhase = stored.phase().compareTo(current.phase()) > 0;
            current = laterPhase ? current.withPhase(stored.phase()) : current;
            return laterPhase;
        }
        boolean bothStartsKnown = stored.startedEpochMillis() != 0 && current.startedEpochMillis() != 0;
        return bothStartsKnown && merge(stored);
    }

    /**
     * Records that an upstream leaves, even if there is no announcement of it yet: a delayed one, or the stored one that a
     * restarted node reads only afterwards, must not make the upstream {@link Phase#READY}.
     *
     * @param startedEpochMillis start time of the leaving upstream in epoch milliseconds; 0 if unknown, for any start
     *     up to now
     * @param nowEpochMillis current time in epoch milliseconds
     * @return whether the current announcement changed
     */
    public boolean markLeft(String id, long startedEpochMillis, long nowEpochMillis) {
        boolean startUnknown = startedEpochMillis == 0;
        long lastStartEpochMillis = startUnknown ? nowEpochMillis : startedEpochMillis;
        Announcement departure = new Announcement(id, lastStartEpochMillis, 0, "", 1, Phase.LEFT, 0);
        if (current == null) {
            current = departure;
            startAssumed = startUnknown;
            return true;
        }
        boolean sameStart = current.id().equals(id)
                && (startUnknown
                        || current.startedEpochMillis() == 0
                        || startedEpochMillis == current.startedEpochMillis());
        if (sameStart) {
            boolean changed = current.phase() != Phase.LEFT;
            current = current.withPhase(Phase.LEFT);
            return changed;
        }
        if (startUnknown) {
            markEnded(departure);
            return false;
        }
        return replaceIfLater(departure);
    }

    private boolean replaceIfLater(Announcement next) {
        if (hasEnded(next) || !isLaterStart(next)) {
            return false;
        }
        markEnded(current);
        current = next;
        startAssumed = false;
        return true;
    }

    private boolean isLaterStart(Announcement next) {
        boolean sameId = next.id().equals(current.id());
        boolean bothStartsKnown = next.startedEpochMillis() != 0 && current.startedEpochMillis() != 0 && !startAssumed;
        if (sameId || bothStartsKnown) {
            return next.startedEpochMillis() > current.startedEpochMillis()
                    || next.startedEpochMillis() == current.startedEpochMillis()
                            && next.id().compareTo(current.id()) > 0;
        }
        return true;
    }

    private void markEnded(Announcement start) {
        endedStarts.merge(start.id(), start.startedEpochMillis(), Math::max);
    }

    private boolean hasEnded(Announcement start) {
        Long lastEnded = endedStarts.get(start.id());
        return lastEnded != null && start.startedEpochMillis() <= lastEnded;
    }
}
