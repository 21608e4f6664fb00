package org.sardineshunt.engine.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.health.Baseline;
import org.sardineshunt.coordination.placement.HomeView;
import org.sardineshunt.coordination.retry.HedgingPolicy;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.peer.NodeDirectory;
import org.sardineshunt.engine.peer.PeerAddress;
import org.sardineshunt.engine.protocol.EngineMessages.HomeLoad;

/**
 * What this node knows of the homes of each service: their load reports and the attempts that it has sent to them.
 * Confined to the control thread.
 */
public final class HomeRegistry {
    // A home whose last report is older counts as idle except for this node's own attempts. Homes repeat their
    // reports more often than this as long as work waits there.
    private static final long MAXIMUM_LOAD_AGE_MILLIS = 5_000;
    private static final long MAXIMUM_BASELINE_AGE_MILLIS = 10_000;
    private static final int MINIMUM_BASELINE_REQUESTS = 1;

    // Reports state failures per thousand requests, so each counts as a sample of a thousand.
    private static final int ASSUMED_SAMPLE_REQUESTS = 1_000;

    private final TimerService timers;
    private final NodeDirectory directory;
    private final String dataCentre;
    private final Predicate<PeerAddress> reachable;
    private final Map<String, HomeState> stateByNodeId = new HashMap<>();

    /**
     * Creates a registry without reports.
     *
     * @param dataCentre data centre of this node
     * @param reachable tells whether a node is reachable, as far as is known
     */
    public HomeRegistry(
            TimerService timers, NodeDirectory directory, String dataCentre, Predicate<PeerAddress> reachable) {
        this.timers = timers;
        this.directory = directory;
        this.dataCentre = dataCentre;
        this.reachable = reachable;
    }

    /**
     * Returns the homes of a service that accept work, as far as is known, sorted by node ID. Their expected waits are
     * those of the given kind of work.
     *
     * @param rank rank of the request to be placed
     * @param fromRunningRequest whether a running request makes it, so that it goes before new work of its rank
     */
    public List<HomeView> homes(String service, int rank, boolean fromRunningRequest) {
        long now = timers.nowMillis();
        double medianServiceMillis = baseline(service).medianLatencyMillis();
        int waitIndex = 2 * rank + (fromRunningRequest ? 0 : 1);
        Map<String, Double> typicalWaits = typicalWaitsByDataCentre(now, service, waitIndex);
        return directory.homes(service).stream()
                .filter(node -> !node.stopping() && reachable.test(node.address()))
                .map(node -> view(now, node, new ServiceView(waitIndex, medianServiceMillis, typicalWaits)))
                .toList();
    }

    /** Returns the given homes with the age of their reports and the number of this node's attempts there. */
    List<HedgingPolicy.Candidate> hedgeCandidates(List<HomeView> homes) {
        long now = timers.nowMillis();
        return homes.stream()
                .map(home -> {
                    HomeState state = stateOf(home.nodeId());
                    long reportAgeMillis = state.load == null ? Long.MAX_VALUE : now - state.reportedMillis;
                    return new HedgingPolicy.Candidate(home, reportAgeMillis, state.outstanding);
                })
                .toList();
    }

    /** Records a home's load report unless the same or a newer one of that incarnation is known. */
    public void recordLoad(String nodeId, HomeLoad load) {
        HomeState state = stateOf(nodeId);
        boolean outdated = state.load != null
                && load.getIncarnation() == state.load.getIncarnation()
                && load.getSequence() <= state.load.getSequence();
        if (outdated) {
            return;
        }
        if (state.load != null && state.load.getIncarnation() != load.getIncarnation()) {
            state.avoidedUntilMillis = Long.MIN_VALUE;
        }
        state.load = load;
        state.reportedMillis = timers.nowMillis();
        state.sentSinceReport = 0;
    }

    /** Records that an attempt was sent to a home. */
    public void recordSent(String nodeId) {
        HomeState state = stateOf(nodeId);
        state.outstanding++;
        state.sentSinceReport++;
    }

    /** Records that an attempt sent to a home ended. */
    public void recordEnded(String nodeId) {
        HomeState state = stateOf(nodeId);
        state.outstanding = Math.max(0, state.outstanding - 1);
    }

    /** Marks a home as avoided for the given time, so that other homes are preferred. */
    public void avoid(String nodeId, long millis) {
        HomeState state = stateOf(nodeId);
        state.avoidedUntilMillis = Math.max(state.avoidedUntilMillis, timers.nowMillis() + millis);
    }

    /**
     * Ends the avoidance of nodes that are new or have restarted since the last call.
     *
     * @param onRestarted called with the address of each of these nodes
     */
    public void handleRestarts(Consumer<PeerAddress> onRestarted) {
        directory.nodes().forEach(node -> {
            HomeState state = stateOf(node.address().nodeId());
            if (state.incarnation != node.incarnation()) {
                state.incarnation = node.incarnation();
                state.avoidedUntilMillis = Long.MIN_VALUE;
                onRestarted.accept(node.address());
            }
        });
    }

    /** Returns the median failure share and latency of a service's upstreams, according to recent load reports. */
    public Baseline baseline(String service) {
        long now = timers.nowMillis();
        List<Baseline.Sample> samples = directory.homes(service).stream()
                .map(node -> stateByNodeId.get(node.address().nodeId()))
                .filter(state -> state != null && state.load != null && state.load.getServiceMillis() > 0)
                .filter(state -> now - state.reportedMillis < MAXIMUM_BASELINE_AGE_MILLIS)
                .map(state -> new Baseline.Sample(
                        ASSUMED_SAMPLE_REQUESTS, state.load.getFailurePermille(), state.load.getServiceMillis()))
                .toList();
        return Baseline.of(samples, MINIMUM_BASELINE_REQUESTS);
    }

    /** Returns the nodes of this node's data centre, including itself. */
    public Stream<KnownNode> nearNodes() {
        return directory.nodes().filter(this::isNear);
    }

    /** Returns whether a node is in this node's data centre. */
    public boolean isNear(KnownNode node) {
        return node.dataCentre().equals(dataCentre);
    }

    // The median of the waits in recent reports. Without it, entries took each home of a full data centre that had not
    // reported to them for idle, and each of them sent it work that it refused.
    private Map<String, Double> typicalWaitsByDataCentre(long now, String service, int waitIndex) {
        Map<String, List<Double>> waits = directory.homes(service).stream()
                .filter(node -> isFresh(now, stateOf(node.address().nodeId())))
                .collect(Collectors.groupingBy(
                        KnownNode::dataCentre,
                        Collectors.mapping(
                                node -> waitMillis(stateOf(node.address().nodeId()).load, waitIndex),
                                Collectors.toList())));
        return waits.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> median(entry.getValue())));
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().skip(values.size() / 2).findFirst().orElse(0.0);
    }

    private static boolean isFresh(long now, HomeState state) {
        return state.load != null && now - state.reportedMillis < MAXIMUM_LOAD_AGE_MILLIS;
    }

    private HomeView view(long now, KnownNode node, ServiceView service) {
        String nodeId = node.address().nodeId();
        HomeState state = stateOf(nodeId);
        int slots = Math.max(1, node.upstream().orElseThrow().slots());
        boolean fresh = isFresh(now, state);
        int reportedRequests = fresh
                ? Math.max(0, state.load.getInFlight()) + Math.max(0, state.load.getWaiting()) + state.sentSinceReport
                : 0;
        int outstandingRequests = Math.max(reportedRequests, state.outstanding);
        double serviceMillis = state.load == null || state.load.getServiceMillis() <= 0
                ? service.medianServiceMillis()
                : state.load.getServiceMillis();
        double reportedWaitMillis = fresh
                ? waitMillis(state.load, service.waitIndex())
                : service.typicalWaits().getOrDefault(node.dataCentre(), 0.0);
        // Attempts that the report doesn't include, and the one to be placed, wait if they exceed the free slots.
        int unreportedRequests = fresh ? state.sentSinceReport : state.outstanding;
        int freeSlots = fresh ? Math.max(0, slots - state.load.getInFlight()) : slots;
        double expectedWaitMillis =
                reportedWaitMillis + Math.max(0, unreportedRequests + 1 - freeSlots) * serviceMillis / slots;
        return new HomeView(
                nodeId,
                isNear(node),
                slots,
                outstandingRequests,
                reportedWaitMillis > 0 || outstandingRequests >= slots ? expectedWaitMillis : 0,
                serviceMillis,
                state.load == null ? HealthCondition.HEALTHY : HealthCondition.ofOrdinal(state.load.getCondition()),
                state.load != null && state.load.getFailing(),
                fresh && !state.load.getAccepting() || now < state.avoidedUntilMillis);
    }

    // Reports state two waits for each rank: that of calls that running requests make, then that of new work. The
    // last two hold for all further ranks.
    private static double waitMillis(HomeLoad load, int waitIndex) {
        int count = load.getWaitMillisCount();
        return count < 2 ? 0 : Math.max(0, load.getWaitMillis(Math.min(waitIndex, count - 2 + waitIndex % 2)));
    }

    private HomeState stateOf(String nodeId) {
        return stateByNodeId.computeIfAbsent(nodeId, id -> new HomeState());
    }

    /**
     * What is known of all homes of a service.
     *
     * @param waitIndex index of the wait of the work to be placed in load reports
     * @param medianServiceMillis median service time
     * @param typicalWaits median reported wait in milliseconds by data centre, where a home has reported recently
     */
    private record ServiceView(int waitIndex, double medianServiceMillis, Map<String, Double> typicalWaits) {}

    /** The last report of one home, and this node's own attempts there. */
    private static final class HomeState {
        private HomeLoad load;
        private long reportedMillis;
        private long avoidedUntilMillis = Long.MIN_VALUE;
        private long incarnation;
        private int outstanding;
        private int sentSinceReport;
    }
}
