package org.sardineshunt.coordination.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The far nodes that hear of a home's load: those that sent work a moment ago. Bytes between data centres are dear, but
 * an entry that knows nothing takes a full home for an idle one. It answers overload that moves between data centres. Not
 * thread-safe.
 */
public final class RecentSenders {
    private static final long RETENTION_MILLIS = 10_000;

    private final Map<String, Long> lastReceivedMillis = new HashMap<>();

    /** Notes that a far node sent work. */
    public void record(long nowMillis, String nodeId) {
        lastReceivedMillis.put(nodeId, nowMillis);
    }

    /** Returns the far nodes that sent work a moment ago. */
    public List<String> nodes(long nowMillis) {
        lastReceivedMillis.values().removeIf(receivedMillis -> nowMillis - receivedMillis > RETENTION_MILLIS);
        return List.copyOf(lastReceivedMillis.keySet());
    }
}
