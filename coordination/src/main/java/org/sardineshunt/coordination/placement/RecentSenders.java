package org.sardineshunt.coordination.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The nodes of other data centres that sent work to this home recently. Only these receive its regular load reports:
 * traffic between data centres is expensive, but an entry without reports takes a full home for an idle one. Keeps
 * placement accurate when overload moves between data centres. Not thread-safe.
 */
public final class RecentSenders {
    private static final long RETENTION_MILLIS = 10_000;

    private final Map<String, Long> lastReceivedMillis = new HashMap<>();

    /** Records that a node of another data centre sent work. */
    public void recordSender(long nowMillis, String nodeId) {
        lastReceivedMillis.put(nodeId, nowMillis);
    }

    /** Returns the nodes of other data centres that sent work recently. */
    public List<String> nodes(long nowMillis) {
        lastReceivedMillis.values().removeIf(receivedMillis -> nowMillis - receivedMillis > RETENTION_MILLIS);
        return List.copyOf(lastReceivedMillis.keySet());
    }
}
