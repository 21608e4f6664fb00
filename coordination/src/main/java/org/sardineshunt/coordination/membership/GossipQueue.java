package org.sardineshunt.coordination.membership;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates that are sent along with probes. Each is sent a number of times that grows with the logarithm of the fleet;
 * the least sent go first, and a newer update of the same key replaces an older one. Not thread-safe.
 *
 * @param <U> the update
 */
public final class GossipQueue<U> {
    private final int timesPerDecade;
    private final Map<String, Pending<U>> pending = new LinkedHashMap<>();

    /** Creates an empty queue that sends each update this many times for every factor of ten in the fleet's size. */
    public GossipQueue(int timesPerDecade) {
        this.timesPerDecade = timesPerDecade;
    }

    /** Adds an update; it replaces the pending one with the same key. */
    public void add(String key, U update) {
        pending.put(key, new Pending<>(update, 0));
    }

    /**
     * Returns the updates for the next message and counts them as sent.
     *
     * @param most at most this many
     * @param nodes size of the fleet
     */
    public List<U> take(int most, int nodes) {
        int times = (int) Math.ceil(timesPerDecade * Math.log10(nodes + 1));
        List<Map.Entry<String, Pending<U>>> chosen = pending.entrySet().stream()
                .sorted(Comparator.comparingInt(entry -> entry.getValue().sent()))
                .limit(most)
                .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
                .toList();
        chosen.forEach(entry -> countSent(entry.getKey(), entry.getValue(), times));
        return chosen.stream().map(entry -> entry.getValue().update()).toList();
    }

    /** Returns how many updates wait. */
    public int size() {
        return pending.size();
    }

    private void countSent(String key, Pending<U> update, int times) {
        int sent = update.sent() + 1;
        if (sent >= times) {
            pending.remove(key);
        } else {
            pending.put(key, new Pending<>(update.update(), sent));
        }
    }

    private record Pending<U>(U update, int sent) {}
}
