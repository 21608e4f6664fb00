package org.sardineshunt.coordination.membership;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of updates that are piggybacked on probes. The number of transmissions of an update grows with the logarithm of
 * the fleet's size. Updates with the fewest transmissions go first, and a newer update of a key replaces an older one.
 * Not thread-safe.
 *
 * @param <U> type of the updates
 */
public final class GossipQueue<U> {
    private final int retransmitMultiplier;
    private final Map<String, Pending<U>> pending = new LinkedHashMap<>();

    /**
     * Creates an empty queue.
     *
     * @param retransmitMultiplier transmissions of each update for every factor of ten in the fleet's size
     */
    public GossipQueue(int retransmitMultiplier) {
        this.retransmitMultiplier = retransmitMultiplier;
    }

    /** Adds an update, in place of the pending one with the same key. */
    public void add(String key, U update) {
        pending.put(key, new Pending<>(update, 0));
    }

    /**
     * Returns the updates for the next message, counts their transmission, and removes those sent often enough.
     *
     * @param maximumUpdates maximum number of updates to return
     * @param fleetSize number of nodes in the fleet
     */
    public List<U> take(int maximumUpdates, int fleetSize) {
        int transmissionLimit = (int) Math.ceil(retransmitMultiplier * Math.log10(fleetSize + 1));
        List<Map.Entry<String, Pending<U>>> selected = pending.entrySet().stream()
                .sorted(Comparator.comparingInt(entry -> entry.getValue().transmissions()))
                .limit(maximumUpdates)
                .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
                .toList();
        selected.forEach(entry -> recordTransmission(entry.getKey(), entry.getValue(), transmissionLimit));
        return selected.stream().map(entry -> entry.getValue().update()).toList();
    }

    /** Returns the number of pending updates. */
    public int size() {
        return pending.size();
    }

    private void recordTransmission(String key, Pending<U> update, int transmissionLimit) {
        int transmissions = update.transmissions() + 1;
        if (transmissions >= transmissionLimit) {
            pending.remove(key);
        } else {
            pending.put(key, new Pending<>(update.update(), transmissions));
        }
    }

    private record Pending<U>(U update, int transmissions) {}
}
