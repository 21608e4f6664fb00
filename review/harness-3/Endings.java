import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Restarts the nodes that end by themselves, as the platform does, and counts how often each did. Rule Fault of RULES.md:
 * broken if on a tenth of the machines, two at least, processes end by themselves three times with no disturbance there.
 */
final class Endings {
    private static final long RESTART_MILLIS = 500;
    private static final int MACHINES = 2;
    private static final int TIMES = 3;

    private final Record record;
    private final List<Fleet.Node> nodes;
    private final List<AtomicInteger> counts = new ArrayList<>();
    private volatile boolean stopped;

    Endings(Fleet fleet, Record record) {
        this.record = record;
        nodes = List.copyOf(fleet.nodes());
        for (Fleet.Node node : nodes) {
            AtomicInteger count = new AtomicInteger();
            counts.add(count);
            Threads.start("restarts", () -> watch(node, count));
        }
    }

    private void watch(Fleet.Node node, AtomicInteger count) throws IOException, InterruptedException {
        while (!stopped) {
            int status = node.process().waitFor();
            if (stopped) {
                return;
            }
            count.incrementAndGet();
            String log = node.logEnd(1);
            record.show("node " + node.name() + " ended by itself, status " + status + ": "
                    + log.substring(Math.max(0, log.length() - 120)));
            Thread.sleep(RESTART_MILLIS);
            synchronized (this) {
                if (!stopped) {
                    node.start();
                }
            }
        }
    }

    /** Returns whether the rule is broken so far. */
    boolean isBroken() {
        return counts.stream().filter(count -> count.get() >= TIMES).count() >= MACHINES;
    }

    /** Ends the restarts and returns whether the rule held. */
    synchronized boolean held() {
        stopped = true;
        record.show("ended by themselves, by node: " + counts);
        return !isBroken();
    }
}
