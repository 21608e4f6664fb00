package org.sardineshunt.coordination.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which far nodes hear of a home's load, and when.
 *
 * <p>Bytes between data centres are dear, but an entry that knows nothing takes a full home for an idle one. So the nodes
 * that sent work a moment ago are told when the expected wait has changed by about a factor of two, and again now and
 * then while there is a wait. It answers overload that moves between data centres. Not thread-safe.
 */
public final class LoadAudience {
    private static final long MEMORY_MILLIS = 10_000;
    private static final long SHORTEST_PERIOD_MILLIS = 250;
    private static final long REPEAT_MILLIS = 2_500;
    private static final double FIRST_STEP_MILLIS = 100;

    private final Map<String, Long> heardMillis = new HashMap<>();
    private long toldMillis = Long.MIN_VALUE / 2;
    private int toldStep;

    /** Notes that a far node sent work. */
    public void heard(long nowMillis, String nodeId) {
        heardMillis.put(nodeId, nowMillis);
    }

    /** Returns whether the audience must be told now; if so it counts as told. */
    public boolean mustTell(long nowMillis, boolean free, double waitMillis) {
        int step = step(free, waitMillis);
        boolean changed = step != toldStep && nowMillis - toldMillis >= SHORTEST_PERIOD_MILLIS;
        boolean faded = step > 0 && nowMillis - toldMillis >= REPEAT_MILLIS;
        if (!changed && !faded) {
            return false;
        }
        toldStep = step;
        toldMillis = nowMillis;
        return true;
    }

    /** Returns the milliseconds until a change that was held back may be told; 0 if none was. */
    public long heldBackMillis(long nowMillis, boolean free, double waitMillis) {
        return step(free, waitMillis) == toldStep ? 0 : Math.max(1, toldMillis + SHORTEST_PERIOD_MILLIS - nowMillis);
    }

    /** Returns the far nodes that sent work a moment ago. */
    public List<String> nodes(long nowMillis) {
        heardMillis.values().removeIf(heard -> nowMillis - heard > MEMORY_MILLIS);
        return List.copyOf(heardMillis.keySet());
    }

    private static int step(boolean free, double waitMillis) {
        return free ? 0 : 1 + (int) Math.round(Math.log(1 + waitMillis / FIRST_STEP_MILLIS) / Math.log(2));
    }
}
