package org.sardineshunt.engine;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.placement.LoadReportThrottle;
import org.sardineshunt.coordination.placement.RecentSenders;
import org.sardineshunt.engine.backendserver.HomeService;
import org.sardineshunt.engine.caller.HomeRegistry;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.peer.NodeDirectory;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.HomeLoad;

/**
 * Reports the load of the local home to other nodes. Nodes of the same data centre receive small changes soon. Nodes of
 * other data centres receive larger changes only, and only if they sent work recently, because traffic between data
 * centres is expensive. Confined to the control thread.
 */
final class LoadReporter {
    private static final long MINIMUM_INTERVAL_MILLIS = 30;
    private static final long FAR_MINIMUM_INTERVAL_MILLIS = 250;

    // Shorter than the age from which HomeRegistry ignores a report.
    private static final long REPEAT_INTERVAL_MILLIS = 2_500;

    // Further free slots count as no change.
    private static final int NEAR_MAXIMUM_FREE_SLOTS = 2;
    private static final int FAR_MAXIMUM_FREE_SLOTS = 1;

    private static final int FAR_NODES_PER_CONFIGURATION = 2;

    private static final double NEAR_BASE_WAIT_MILLIS = 50;
    private static final double FAR_BASE_WAIT_MILLIS = 100;

    private final TimerService timers;
    private final String ownId;
    private final NodeDirectory directory;
    private final HomeRegistry homeRegistry;
    private final FleetHomeClient homeClient;
    private final HomeService home;
    private final RecentSenders farSenders = new RecentSenders();
    private final LoadReportThrottle nearThrottle = new LoadReportThrottle(
            NEAR_MAXIMUM_FREE_SLOTS, NEAR_BASE_WAIT_MILLIS, MINIMUM_INTERVAL_MILLIS, REPEAT_INTERVAL_MILLIS);
    private final LoadReportThrottle farThrottle = new LoadReportThrottle(
            FAR_MAXIMUM_FREE_SLOTS, FAR_BASE_WAIT_MILLIS, FAR_MINIMUM_INTERVAL_MILLIS, REPEAT_INTERVAL_MILLIS);
    private boolean reportScheduled;

    LoadReporter(
            TimerService timers,
            String ownId,
            NodeDirectory directory,
            HomeRegistry homeRegistry,
            FleetHomeClient homeClient,
            HomeService home) {
        this.timers = timers;
        this.ownId = ownId;
        this.directory = directory;
        this.homeRegistry = homeRegistry;
        this.homeClient = homeClient;
        this.home = home;
    }

    /** Records that a node sent work here; a node of another data centre then receives reports for a while. */
    void recordSender(String nodeId) {
        if (directory.node(nodeId).filter(node -> !homeRegistry.isNear(node)).isPresent()) {
            farSenders.recordSender(timers.nowMillis(), nodeId);
        }
    }

    /** Schedules a report to the nodes for which the load has changed enough. */
    void scheduleReport() {
        if (!reportScheduled) {
            reportScheduled = true;
            timers.after(MINIMUM_INTERVAL_MILLIS, this::reportIfChanged);
        }
    }

    /** Reports the load to all nodes at once. */
    void reportToAll() {
        send(home.createLoadReport(), directory.nodes());
    }

    /**
     * Reports to the nodes of the data centre and to a few of each other one, so that a new configuration version also
     * becomes known where the store can't be reached; nodes that adopt it report it in turn.
     */
    void reportConfiguration(Random random) {
        Map<String, List<KnownNode>> farNodes = directory
                .nodes()
                .filter(node -> !homeRegistry.isNear(node))
                .collect(Collectors.groupingBy(KnownNode::dataCentre));
        Stream<KnownNode> chosenFarNodes = farNodes.values().stream().flatMap(nodes -> random.ints(0, nodes.size())
                .limit(FAR_NODES_PER_CONFIGURATION)
                .distinct()
                .mapToObj(nodes::get));
        send(home.createLoadReport(), Stream.concat(homeRegistry.nearNodes(), chosenFarNodes));
    }

    private void reportIfChanged() {
        reportScheduled = false;
        HomeLoad load = home.createLoadReport();
        homeRegistry.recordLoad(ownId, load);
        long now = timers.nowMillis();
        int freeSlots = Math.max(0, load.getSlots() - load.getInFlight());
        // The last element is the wait of new work of the least urgent rank.
        double waitMillis = load.getWaitMillis(load.getWaitMillisCount() - 1);
        if (nearThrottle.shouldReport(now, freeSlots, waitMillis)) {
            send(load, homeRegistry.nearNodes());
        }
        if (farThrottle.shouldReport(now, freeSlots, waitMillis)) {
            send(load, farNodes(now));
        }
        if (farThrottle.hasPendingChange(freeSlots, waitMillis)) {
            scheduleReport();
        }
    }

    private Stream<KnownNode> farNodes(long now) {
        return farSenders.nodes(now).stream().map(directory::node).flatMap(Optional::stream);
    }

    private void send(HomeLoad load, Stream<KnownNode> nodes) {
        homeRegistry.recordLoad(ownId, load);
        homeClient.sendOneWay(
                nodes.filter(node -> !node.stopping()),
                Frame.newBuilder().setLoad(load).build());
    }
}
