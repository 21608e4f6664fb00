package org.sardineshunt.coordination.announcement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.sardineshunt.coordination.announcement.Announcement.Phase;

/**
 * The latest departure of each other node's upstream, as that node or the table has stated it. Departures are kept even if
 * the table has them, because it may come back from an older copy, and after a later start of the upstream, whose row may be
 * lost in the same way: that start supersedes the departure wherever it is known. One entry for each node. Not thread-safe.
 */
public final class DepartureRegistry {
    private final Map<String, Announcement> departures = new HashMap<>();

    /** Records a state of a node's upstream if it is a departure, unless a later state of that start or a later one is known. */
    public void record(String nodeId, Announcement state) {
        if (state.phase() != Phase.READY) {
            departures.merge(nodeId, state, (known, added) -> known.supersedes(added) ? known : added);
        }
    }

    /** Returns the latest departure of a node's upstream, if there was one. */
    public Optional<Announcement> find(String nodeId) {
        return Optional.ofNullable(departures.get(nodeId));
    }
}
