package org.sardineshunt.engine;

import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.membership.FleetWideRate;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.peer.NodeDirectory;
import org.sardineshunt.engine.peer.PeerAddress;
import org.sardineshunt.engine.platform.MonitoredTableStore;
import org.sardineshunt.engine.platform.TableStore.Row;
import org.sardineshunt.engine.platform.TableWatch;

/**
 * Follows the table that holds the configuration. The responses to the calls of all nodes that wait for changes may be lost
 * at the same moment, so the nodes that reach each other check the table at a common rate; whoever finds a new configuration
 * tells the others. Confined to the control thread.
 */
final class ConfigurationWatch {
    private static final FleetWideRate CHECKS = new FleetWideRate(2, 1_000);

    private final TimerService timers;
    private final EventLog log;
    private final NodeDirectory directory;
    private final Predicate<PeerAddress> isReachable;
    private final Random random;
    private TableWatch watch;

    /** Creates a watch that is not started. */
    ConfigurationWatch(
            TimerService timers,
            EventLog log,
            NodeDirectory directory,
            Predicate<PeerAddress> isReachable,
            Random random) {
        this.timers = timers;
        this.log = log;
        this.directory = directory;
        this.isReachable = isReachable;
        this.random = random;
    }

    /**
     * Reads the table and follows its changes.
     *
     * @param changePauseMillis supplies the pause after each change
     * @param onChanged receives new, changed and removed rows
     */
    void start(MonitoredTableStore store, String table, LongSupplier changePauseMillis, Consumer<List<Row>> onChanged) {
        TableWatch.Pacing pacing = new TableWatch.Pacing(changePauseMillis, this::checkDelayMillis);
        watch = new TableWatch(timers, log, store, table, pacing, random, onChanged);
        watch.start();
    }

    /** Checks the table unless it shows a change soon; called when a configuration was put in force. */
    void expectChange() {
        watch.expectChange();
    }

    private long checkDelayMillis() {
        long nodes = directory
                .nodes()
                .filter(node -> !node.stopping())
                .map(KnownNode::address)
                .filter(isReachable)
                .count();
        return CHECKS.nextDelayMillis(Math.max(1, nodes), random);
    }
}
