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
final class LoadTeller {
    private static final long PERIOD_MILLIS = 30;
    private static final long FAR_PERIOD_MILLIS = 250;
    private static final long REPEAT_MILLIS = 2_500;
    private static final int NEAR_MATTERS_FREE = 2;
    private static final int FAR_MATTERS_FREE = 1;
    private static final double NEAR_FIRST_STEP_MILLIS = 50;
    private static final double FAR_FIRST_STEP_MILLIS = 100;

    private final TimerService timers;
    private final String ownId;
    private final NodeDirectory directory;
    private final HomeRegistry homeRegistry;
    private final PeerHomes peers;
    private final HomeService home;
    private final RecentSenders farAudience = new RecentSenders();
    private final LoadReportThrottle nearSteps =
            new LoadReportThrottle(NEAR_MATTERS_FREE, NEAR_FIRST_STEP_MILLIS, PERIOD_MILLIS, REPEAT_MILLIS);
    private final LoadReportThrottle farSteps =
            new LoadReportThrottle(FAR_MATTERS_FREE, FAR_FIRST_STEP_MILLIS, FAR_PERIOD_MILLIS, REPEAT_MILLIS);
    private boolean scheduled;

    LoadTeller(
            TimerService timers,
            String ownId,
            NodeDirectory directory,
            HomeRegistry homeRegistry,
            PeerHomes peers,
            HomeService home) {
        this.timers = timers;
        this.ownId = ownId;
        this.directory = directory;
        this.homeRegistry = homeRegistry;
        this.peers = peers;
        this.home = home;
    }

    /** Notes that a node sent work here. */
    void heard(String nodeId) {
        if (directory.node(nodeId).filter(node -> !homeRegistry.isNear(node)).isPresent()) {
            farAudience.record(timers.nowMillis(), nodeId);
        }
    }

    /** Tells the load soon, to those for whom it has changed enough. */
    void loadChanged() {
        if (!scheduled) {
            scheduled = true;
            timers.after(PERIOD_MILLIS, this::share);
        }
    }

    /** Tells the load to all nodes at once. */
    void tellAll() {
        tell(home.load(), directory.nodes());
    }

    private void share() {
        scheduled = false;
        HomeLoad load = home.load();
        homeRegistry.recordLoad(ownId, load);
        long now = timers.nowMillis();
        int free = Math.max(0, load.getSlots() - load.getInFlight());
        double waitMillis = load.getWaitMillis(load.getWaitMillisCount() - 1);
        if (nearSteps.shouldReport(now, free, waitMillis)) {
            tell(load, homeRegistry.nearNodes());
        }
        if (farSteps.shouldReport(now, free, waitMillis)) {
            tell(load, farNodes(now));
        }
        if (farSteps.hasPendingChange(free, waitMillis)) {
            loadChanged();
        }
    }

    private Stream<KnownNode> farNodes(long now) {
        return farAudience.nodes(now).stream().map(directory::node).flatMap(Optional::stream);
    }

    private void tell(HomeLoad load, Stream<KnownNode> nodes) {
        homeRegistry.recordLoad(ownId, load);
        peers.tell(
                nodes.filter(node -> !node.stopping()),
                Frame.newBuilder().setLoad(load).build());
    }
}
