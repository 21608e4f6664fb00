package org.sardineshunt.coordination.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.sardineshunt.coordination.membership.Member.State;

/**
 * Detects nodes that stopped without leaving, by SWIM. Each period, one node is probed directly and then through other
 * nodes. A node that doesn't answer is suspected, and declared dead unless it refutes the suspicion in time.
 *
 * <pre>{@code
 * List<Action> actions = detector.tick(nowMillis, peersOfMyDataCentre);
 * detector.acknowledged(nodeId);   // for each answer, direct or indirect
 * }</pre>
 *
 * <p>If several probes in a row fail, the node assumes that it is isolated itself: it continues to probe, but suspects
 * no node and declares none dead until a probe succeeds. Otherwise a partitioned or paused node would declare the
 * others dead. Not thread-safe.
 */
public final class FailureDetector {
    // After more failed probes in a row, this node assumes that it is isolated.
    private static final int MAXIMUM_CONSECUTIVE_FAILURES = 3;

    private final int indirectProbes;
    private final double suspicionPeriods;
    private final long periodMillis;
    private final Random random;
    private final List<String> probeOrder = new ArrayList<>();
    private final Map<String, Long> suspectedAtMillis = new HashMap<>();
    private Probe probe;
    private int consecutiveFailures;

    /**
     * Creates a detector.
     *
     * @param periodMillis time between calls of {@link #tick}, in milliseconds
     * @param indirectProbes number of nodes that are asked for an indirect probe
     * @param suspicionPeriods number of periods from suspicion to death with up to ten nodes; with more, it is
     *     multiplied by the decimal logarithm of their number
     * @param random source of the random order of probes
     */
    public FailureDetector(long periodMillis, int indirectProbes, double suspicionPeriods, Random random) {
        this.periodMillis = periodMillis;
        this.indirectProbes = indirectProbes;
        this.suspicionPeriods = suspicionPeriods;
        this.random = random;
    }

    /**
     * Starts a period: evaluates the last probe, finds the suspects whose time has ended, and selects the next target.
     *
     * @param peers current records of the nodes to watch, without this node
     * @return the actions that the caller must perform
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

    /** Returns the indirect probes to send after the timeout of a direct one; none if it has been answered. */
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

    /** Returns the time from suspicion to death with the given number of peers, in milliseconds. */
    public long suspicionMillis(int peerCount) {
        return (long) (suspicionPeriods * Math.max(1, Math.log10(peerCount + 1)) * periodMillis);
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
            suspectedAtMillis.put(target, nowMillis);
            actions.add(new Action(Action.Kind.SUSPECT, target, List.of()));
        }
    }

    private void declareOverdueSuspectsDead(long nowMillis, List<Member> peers, List<Action> actions) {
        List<String> suspects = peers.stream()
                .filter(peer -> peer.state() == State.SUSPECT)
                .map(Member::nodeId)
                .toList();
        suspectedAtMillis.keySet().retainAll(suspects.isEmpty() ? List.of() : new java.util.HashSet<>(suspects));
        suspects.forEach(id -> suspectedAtMillis.putIfAbsent(id, nowMillis));
        long suspicionLimitMillis = suspicionMillis(peers.size());
        if (consecutiveFailures > MAXIMUM_CONSECUTIVE_FAILURES && peers.size() > 1) {
            // An isolated node restarts the time of all suspects.
            suspectedAtMillis.replaceAll((id, since) -> nowMillis);
            return;
        }
        suspects.stream()
                .filter(id -> nowMillis - suspectedAtMillis.get(id) >= suspicionLimitMillis)
                .forEach(id -> actions.add(new Action(Action.Kind.DECLARE_DEAD, id, List.of())));
    }

    // Probes all reachable peers once, in random order, before any of them again.
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
     * Action that the caller of the detector must perform.
     *
     * @param kind kind of the action
     * @param nodeId node that the action concerns
     * @param intermediaries nodes to ask for a probe of it, for {@link Kind#PING_INDIRECTLY}; otherwise empty
     */
    public record Action(Kind kind, String nodeId, List<String> intermediaries) {
        /** Kinds of action. */
        public enum Kind {
            /** Probe the node directly. */
            PING,
            /** Ask other nodes to probe the node. */
            PING_INDIRECTLY,
            /** Mark the node as {@link State#SUSPECT}. */
            SUSPECT,
            /** Mark the node as {@link State#DEAD}. */
            DECLARE_DEAD
        }
    }
}
