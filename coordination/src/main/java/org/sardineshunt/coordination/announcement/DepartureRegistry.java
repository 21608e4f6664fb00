package org.sardineshunt.coordination.announcement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The departures of other nodes' upstreams that are not in the table yet. A departure is kept until the table has the
 * same or a later state of that upstream, however long that takes. Not thread-safe.
 */
public final class DepartureRegistry {
    private final Map<String, Announcement> departures = new HashMap<>();

    /** Records the departure of a node's upstream, unless a later state of it is known. */
    public void record(String nodeId, Announcement departure) {
        departures.merge(nodeId, departure, (known, added) -> known.supersedes(added) ? known : added);
    }

    /** Returns the departure of a node's upstream that the table doesn't have yet, if there is one. */
    public Optional<Announcement> find(String nodeId) {
        return Optional.ofNullable(departures.get(nodeId));
    }

    /** Records which announcement of a node's upstream the table has. */
    public void recordStored(String nodeId, Announcement stored) {
        departures.computeIfPresent(nodeId, (id, known) -> stored.supersedes(known) ? null : known);
    }
}
