package org.sardineshunt.engine.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.coordination.health.Baseline;
import org.sardineshunt.coordination.placement.HomeView;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.peer.NodeDirectory;
import org.sardineshunt.engine.peer.PeerAddress;
import org.sardineshunt.engine.protocol.EngineMessages.HomeLoad;

/** What this node knows of the homes of each service. Belongs to the control thread. */
public final class HomeTable {
    // Homes repeat their load within this time as long as work waits there.
    private static final long LOAD_LIFE_MILLIS = 5_000;
    private static final long BASELINE_LIFE_MILLIS = 10_000;
    private static final int BASELINE_REQUESTS = 1;
    private static final int ASSUMED_REQUESTS = 1_000;

    private final TimerService timers;
    private final NodeDirectory directory;
    private final String dataCentre;
    private final Predicate<PeerAddress> reachable;
    private final Map<String, Known> known = new HashMap<>();

    /**
     * Creates a table without reports.
     *
     * @param reachable whether a node can be reached as far as is known
     */
    public HomeTable(
            TimerService timers, NodeDirectory directory, String dataCentre, Predicate<PeerAddress> reachable) {
        this.timers = timers;
        this.directory = directory;
        this.dataCentre = dataCentre;
        this.reachable = reachable;
    }

    /**
     * Returns the homes of a service that take work as far as is known, as work of a rank sees them.
     *
     * @param fromRunningRequest whether a running request makes the call, so that it waits less
     */
    public List<HomeView> homes(String service, int rank, boolean fromRunningRequest) {
        long now = timers.nowMillis();
        double usualMillis = baseline(service).medianLatencyMillis();
        return directory
                .nodes()
                .filter(node -> !node.stopping() && serves(node, service) && reachable.test(node.address()))
                .sorted(java.util.Comparator.comparing(node -> node.address().nodeId()))
                .map(node -> view(now, node, 2 * rank + (fromRunningRequest ? 0 : 1), usualMillis))
                .toList();
    }

    /** Takes a report, unless a newer one of the same home is known. */
    public void report(String nodeId, HomeLoad load) {
        Known home = home(nodeId);
        boolean older = home.load != null
                && load.getIncarnation() == home.load.getIncarnation()
                && load.getSequence() <= home.load.getSequence();
        if (older) {
            return;
        }
        if (home.load != null && home.load.getIncarnation() != load.getIncarnation()) {
            home.avoidedUntilMillis = Long.MIN_VALUE;
        }
        home.load = load;
        home.reportedMillis = timers.nowMillis();
        home.sentSince = 0;
    }

    /** Notes that an attempt was sent. */
    public void sent(String nodeId) {
        Known home = home(nodeId);
        home.outstanding++;
        home.sentSince++;
    }

    /** Notes that an attempt ended. */
    public void ended(String nodeId) {
        Known home = home(nodeId);
        home.outstanding = Math.max(0, home.outstanding - 1);
    }

    /** Prefers other homes for some milliseconds. */
    public void avoid(String nodeId, long millis) {
        Known home = home(nodeId);
        home.avoidedUntilMillis = Math.max(home.avoidedUntilMillis, timers.nowMillis() + millis);
    }

    /** Ends the avoidance of nodes that have started again, and tells which they are. */
    public void forgetFormerStarts(Consumer<PeerAddress> onStartedAgain) {
        directory.nodes().forEach(node -> {
            Known home = home(node.address().nodeId());
            if (home.incarnation != node.incarnation()) {
                home.incarnation = node.incarnation();
                home.avoidedUntilMillis = Long.MIN_VALUE;
                onStartedAgain.accept(node.address());
            }
        });
    }

    /** Returns what is usual in a service's group, by the homes' reports. */
    public Baseline baseline(String service) {
        long now = timers.nowMillis();
        List<Baseline.Sample> samples = directory
                .nodes()
                .filter(node -> serves(node, service))
                .map(node -> known.get(node.address().nodeId()))
                .filter(home -> home != null && home.load != null && home.load.getServiceMillis() > 0)
                .filter(home -> now - home.reportedMillis < BASELINE_LIFE_MILLIS)
                .map(home -> new Baseline.Sample(
                        ASSUMED_REQUESTS, home.load.getFailurePermille(), home.load.getServiceMillis()))
                .toList();
        return Baseline.of(samples, BASELINE_REQUESTS);
    }

    /** Returns the nodes of the own data centre. */
    public Stream<KnownNode> near() {
        return directory.nodes().filter(this::isNear);
    }

    /** Returns whether a node is in the own data centre. */
    public boolean isNear(KnownNode node) {
        return node.dataCentre().equals(dataCentre);
    }

    private HomeView view(long now, KnownNode node, int queue, double usualMillis) {
        String nodeId = node.address().nodeId();
        Known home = home(nodeId);
        int slots = Math.max(1, node.upstream().orElseThrow().slots());
        boolean fresh = home.load != null && now - home.reportedMillis < LOAD_LIFE_MILLIS;
        int reported = fresh ? home.load.getInFlight() + home.load.getWaiting() + home.sentSince : 0;
        int busy = Math.max(reported, home.outstanding);
        double serviceMillis =
                home.load == null || home.load.getServiceMillis() == 0 ? usualMillis : home.load.getServiceMillis();
        double reportedWait = fresh ? waitMillis(home.load, queue) : 0;
        int unseen = fresh ? home.sentSince : home.outstanding;
        int free = fresh ? Math.max(0, slots - home.load.getInFlight()) : slots;
        double wait = reportedWait + Math.max(0, unseen + 1 - free) * serviceMillis / slots;
        return new HomeView(
                nodeId,
                isNear(node),
                slots,
                busy,
                reportedWait > 0 || busy >= slots ? wait : 0,
                serviceMillis,
                home.load == null ? HealthCondition.HEALTHY : HealthCondition.ofOrdinal(home.load.getCondition()),
                home.load != null && home.load.getFailing(),
                fresh && !home.load.getAccepting() || now < home.avoidedUntilMillis);
    }

    private static double waitMillis(HomeLoad load, int queue) {
        int known = load.getWaitMillisCount();
        return known < 2 ? 0 : load.getWaitMillis(Math.min(queue, known - 2 + queue % 2));
    }

    private static boolean serves(KnownNode node, String service) {
        return node.upstream()
                .filter(upstream -> upstream.phase() == Phase.READY)
                .filter(upstream -> upstream.service().equals(service))
                .isPresent();
    }

    private Known home(String nodeId) {
        return known.computeIfAbsent(nodeId, id -> new Known());
    }

    /** Reports of one home and this node's own traffic to it. */
    private static final class Known {
        private HomeLoad load;
        private long reportedMillis;
        private long avoidedUntilMillis = Long.MIN_VALUE;
        private long incarnation;
        private int outstanding;
        private int sentSince;
    }
}
