package org.sardineshunt.engine;

import java.util.Optional;
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

/** Tells other nodes the load of this home: near ones in fine steps, far ones that use it in coarse steps. */
final class LoadReporter {
    private static final long MINIMUM_INTERVAL_MILLIS = 30;
    private static final long FAR_MINIMUM_INTERVAL_MILLIS = 250;
    private static final long REPEAT_INTERVAL_MILLIS = 2_500;
    private static final int NEAR_MAXIMUM_FREE_SLOTS = 2;
    private static final int FAR_MAXIMUM_FREE_SLOTS = 1;
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

    /** Notes that a node sent work here. */
    void recordSender(String nodeId) {
        if (directory.node(nodeId).filter(node -> !homeRegistry.isNear(node)).isPresent()) {
            farSenders.record(timers.nowMillis(), nodeId);
        }
    }

    /** Tells the load soon, to those for whom it has changed enough. */
    void scheduleReport() {
        if (!reportScheduled) {
            reportScheduled = true;
            timers.after(MINIMUM_INTERVAL_MILLIS, this::reportIfChanged);
        }
    }

    /** Tells the load to all nodes at once. */
    void reportToAll() {
        send(home.load(), directory.nodes());
    }

    private void reportIfChanged() {
        reportScheduled = false;
        HomeLoad load = home.load();
        homeRegistry.recordLoad(ownId, load);
        long now = timers.nowMillis();
        int freeSlots = Math.max(0, load.getSlots() - load.getInFlight());
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
