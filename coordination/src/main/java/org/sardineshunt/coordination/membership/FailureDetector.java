package org.sardineshunt.coordination.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.sardineshunt.coordination.membership.Member.State;

/**
 * Finds nodes that ended without leaving, by SWIM: each period one node is probed directly, then through others, then
 * suspected, and taken for dead when it doesn't refute in time.
 *
 * <pre>{@code
 * List<Action> actions = detector.tick(nowMillis, peersOfMyDataCentre);
 * detector.acknowledged(nodeId);   // for each answer, direct or indirect
 * }</pre>
 *
 * <p>A node whose own probes fail at several targets in a row distrusts itself: it goes on probing but suspects nobody
 * until a probe succeeds, so that a node that is cut off or was paused kills no one. Not thread-safe.
 */
public final class FailureDetector {
    private static final int MAXIMUM_CONSECUTIVE_FAILURES = 3;

    private final int indirectProbes;
    private final double suspicionPeriods;
    private final long periodMillis;
    private final Random random;
    private final List<String> probeOrder = new ArrayList<>();
    private final Map<String, Long> suspectedAt = new HashMap<>();
    private Probe probe;
    private int consecutiveFailures;

    /**
     * Creates a detector.
     *
     * @param periodMillis time between probes
     * @param indirectProbes nodes that are asked to probe for this one
     * @param suspicionPeriods periods from suspicion to death for ten nodes; grows with the logarithm of their number
     * @param random source of the order of probes
     */
    public FailureDetector(long periodMillis, int indirectProbes, double suspicionPeriods, Random random) {
        this.periodMillis = periodMillis;
        this.indirectProbes = indirectProbes;
        this.suspicionPeriods = suspicionPeriods;
        this.random = random;
    }

    /**
     * Starts a period: judges the last probe and chooses the next one.
     *
     * @param peers the nodes to watch, without this one
     */
    public List<Action> tick(long nowMillis, List<Member> peers) {
        List<Action> actions = new ArrayList<>();
        evaluateLastProbe(nowMillis, peers, actions);
        declareOverdueSuspectsDead(nowMillis, peers, actions);
        nextTarget(peers).ifPresent(target -> {
            probe = new Probe(target, false);
            actions.add(new Action(Action.Kind.PING, target, List.of()));
        });
        return actions;
    }

    /** Returns the indirect probes to make when the direct one has not been answered within its timeout. */
    public List<Action> directProbeTimedOut(String target, List<Member> peers) {
        if (probe == null || !probe.target().equals(target) || probe.acknowledged()) {
            return List.of();
        }
        List<String> intermediaries = new ArrayList<>(peers.stream()
                .filter(peer -> peer.state() == State.ALIVE)
                .map(Member::nodeId)
                .filter(id -> !id.equals(target))
                .toList());
        Collections.shuffle(intermediaries, random);
        return List.of(new Action(
                Action.Kind.PING_INDIRECTLY,
                target,
                intermediaries.stream().limit(indirectProbes).toList()));
    }

    /** Records that a node answered a probe, directly or through another node. */
    public void acknowledged(String nodeId) {
        consecutiveFailures = 0;
        if (probe != null && probe.target().equals(nodeId)) {
            probe = new Probe(nodeId, true);
        }
    }

    /** Returns how long a suspicion lasts with this many nodes, in milliseconds. */
    public long suspicionMillis(int nodes) {
        return (long) (suspicionPeriods * Math.max(1, Math.log10(nodes + 1)) * periodMillis);
    }

    private void evaluateLastProbe(long nowMillis, List<Member> peers, List<Action> actions) {
        if (probe == null || probe.acknowledged()) {
            return;
        }
        consecutiveFailures++;
        String target = probe.target();
        probe = null;
        boolean assumedIsolated = consecutiveFailures > MAXIMUM_CONSECUTIVE_FAILURES && peers.size() > 1;
        boolean alive = peers.stream().anyMatch(peer -> peer.nodeId().equals(target) && peer.state() == State.ALIVE);
        if (alive && !assumedIsolated) {
            suspectedAt.put(target, nowMillis);
            actions.add(new Action(Action.Kind.SUSPECT, target, List.of()));
        }
    }

    private void declareOverdueSuspectsDead(long nowMillis, List<Member> peers, List<Action> actions) {
        List<String> suspects = peers.stream()
                .filter(peer -> peer.state() == State.SUSPECT)
                .map(Member::nodeId)
                .toList();
        suspectedAt.keySet().retainAll(suspects.isEmpty() ? List.of() : new java.util.HashSet<>(suspects));
        suspects.forEach(id -> suspectedAt.putIfAbsent(id, nowMillis));
        long suspicionLimitMillis = suspicionMillis(peers.size());
        if (consecutiveFailures > MAXIMUM_CONSECUTIVE_FAILURES && peers.size() > 1) {
            suspectedAt.replaceAll((id, since) -> nowMillis);
            return;
        }
        suspects.stream()
                .filter(id -> nowMillis - suspectedAt.get(id) >= suspicionLimitMillis)
                .forEach(id -> actions.add(new Action(Action.Kind.DECLARE_DEAD, id, List.of())));
    }

    private java.util.Optional<String> nextTarget(List<Member> peers) {
        List<String> ids =
                peers.stream().filter(Member::isReachable).map(Member::nodeId).toList();
        probeOrder.retainAll(new java.util.HashSet<>(ids));
        if (probeOrder.isEmpty()) {
            probeOrder.addAll(ids);
            Collections.shuffle(probeOrder, random);
        }
        return probeOrder.isEmpty()
                ? java.util.Optional.empty()
                : java.util.Optional.of(probeOrder.remove(probeOrder.size() - 1));
    }

    private record Probe(String target, boolean acknowledged) {}

    /**
     * Something for the owner of the detector to do.
     *
     * @param kind what to do
     * @param nodeId about which node
     * @param intermediaries nodes to ask, for {@link Kind#PING_INDIRECTLY}
     */
    public record Action(Kind kind, String nodeId, List<String> intermediaries) {
        /** Kinds of action. */
        public enum Kind {
            PING,
            PING_INDIRECTLY,
            SUSPECT,
            DECLARE_DEAD
        }
    }
}
