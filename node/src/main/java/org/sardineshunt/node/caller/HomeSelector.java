package org.sardineshunt.node.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.coordination.rotation.RotationDecision;
import org.sardineshunt.node.RotationView;
import org.sardineshunt.node.RotationView.LocatedUpstream;
import org.sardineshunt.node.RotationView.ServiceView;
import org.sardineshunt.protocol.PeerMessages.HomeLoad;

/**
 * Selects the home node of the next attempt: of two random candidates the one with the lower cost by load, distance and
 * recent failures. Confined to the control thread.
 */
final class HomeSelector {
    private static final long MAXIMUM_LOAD_AGE_MILLIS = 500;
    private static final long PENALTY_DURATION_MILLIS = 2_000;

    // Costs are in outstanding requests per slot, to which they are added.
    private static final double OTHER_DATA_CENTRE_COST = 0.25;
    private static final double OTHER_REGION_COST = 4;
    private static final double PENALTY_COST = 1_000;

    // Share of the idempotent requests whose first attempt goes to an upstream on trial.
    private static final double TRIAL_SHARE = 0.05;

    private final RotationView rotations;
    private final Random random;
    private final Member self;
    private final Map<String, ReportedLoad> reportedLoads = new HashMap<>();
    private final Map<String, Integer> outstandingAttempts = new HashMap<>();
    private final Map<String, Long> penalisedUntil = new HashMap<>();

    HomeSelector(RotationView rotations, Member self, Random random) {
        this.rotations = rotations;
        this.self = self;
        this.random = random;
    }

    /**
     * Returns the home for an attempt, or empty if no upstream of the service is in rotation.
     *
     * @param idempotent whether running the request twice is harmless; only such requests go to upstreams on trial
     * @param triedHomes ids of the homes where an attempt of this request failed; they are selected only if there is no
     *     other
     */
    Optional<SelectedHome> select(long nowMillis, String service, boolean idempotent, Set<String> triedHomes) {
        ServiceView view = rotations.of(service);
        List<LocatedUpstream> onTrial = view.upstreamsWith(RotationDecision.Use.TRIAL);
        if (idempotent && triedHomes.isEmpty() && !onTrial.isEmpty() && random.nextDouble() < TRIAL_SHARE) {
            return Optional.of(
                    new SelectedHome(onTrial.get(random.nextInt(onTrial.size())).member(), true));
        }
        Map<Member, Integer> slotsByHome = view.upstreamsWith(RotationDecision.Use.FULL).stream()
                .collect(Collectors.groupingBy(
                        LocatedUpstream::member,
                        Collectors.summingInt(located -> located.upstream().slots())));
        List<Map.Entry<Member, Integer>> untried = slotsByHome.entrySet().stream()
                .filter(entry -> !triedHomes.contains(entry.getKey().nodeId()))
                .sorted(java.util.Comparator.comparing(entry -> entry.getKey().nodeId()))
                .toList();
        List<Map.Entry<Member, Integer>> candidates = untried.isEmpty()
                ? slotsByHome.entrySet().stream()
                        .sorted(java.util.Comparator.comparing(
                                entry -> entry.getKey().nodeId()))
                        .toList()
                : untried;
        return betterOfTwo(nowMillis, candidates).map(member -> new SelectedHome(member, false));
    }

    /** Records that an attempt was sent to a home. */
    void recordSent(String nodeId) {
        outstandingAttempts.merge(nodeId, 1, Integer::sum);
    }

    /** Records that an attempt at a home was answered or failed. */
    void recordEnded(String nodeId) {
        outstandingAttempts.computeIfPresent(nodeId, (id, count) -> count <= 1 ? null : count - 1);
    }

    /** Records the load that a home reported with an answer. */
    void recordLoad(long nowMillis, String nodeId, HomeLoad load) {
        reportedLoads.put(nodeId, new ReportedLoad(load, nowMillis));
    }

    /** Avoids a home for some time if an attempt failed because of the node itself, not of an upstream. */
    void penalise(long nowMillis, String nodeId, Reason reason) {
        if (reason == Reason.NODE_UNREACHABLE || reason == Reason.LINK_LOST || reason == Reason.SHUTTING_DOWN) {
            penalisedUntil.put(nodeId, nowMillis + PENALTY_DURATION_MILLIS);
        }
    }

    /** Removes load reports and penalties that have expired. */
    void removeExpired(long nowMillis) {
        reportedLoads.values().removeIf(load -> nowMillis - load.receivedAtMillis() > MAXIMUM_LOAD_AGE_MILLIS);
        penalisedUntil.values().removeIf(until -> until <= nowMillis);
    }

    private Optional<Member> betterOfTwo(long nowMillis, List<Map.Entry<Member, Integer>> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Map.Entry<Member, Integer> first = candidates.get(random.nextInt(candidates.size()));
        Map.Entry<Member, Integer> second = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(cost(nowMillis, first) <= cost(nowMillis, second) ? first.getKey() : second.getKey());
    }

    private double cost(long nowMillis, Map.Entry<Member, Integer> candidate) {
        Member member = candidate.getKey();
        ReportedLoad lastReport = reportedLoads.get(member.nodeId());
        boolean current = lastReport != null && nowMillis - lastReport.receivedAtMillis() <= MAXIMUM_LOAD_AGE_MILLIS;
        int reportedRequests =
                current ? lastReport.load().getInFlight() + lastReport.load().getQueued() : 0;
        // The report may be older than the latest attempts of this node.
        int outstandingRequests = Math.max(reportedRequests, outstandingAttempts.getOrDefault(member.nodeId(), 0));
        double penaltyCost = penalisedUntil.getOrDefault(member.nodeId(), 0L) > nowMillis ? PENALTY_COST : 0;
        return (outstandingRequests + 1.0) / Math.max(1, candidate.getValue()) + distanceCost(member) + penaltyCost;
    }

    private double distanceCost(Member member) {
        if (!member.location().region().equals(self.location().region())) {
            return OTHER_REGION_COST;
        }
        return member.location().dataCentre().equals(self.location().dataCentre()) ? 0 : OTHER_DATA_CENTRE_COST;
    }

    /**
     * A selected home.
     *
     * @param home the node
     * @param trial whether the attempt goes to an upstream on trial after an ejection
     */
    record SelectedHome(Member home, boolean trial) {}

    private record ReportedLoad(HomeLoad load, long receivedAtMillis) {}
}
