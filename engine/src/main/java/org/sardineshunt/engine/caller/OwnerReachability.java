package org.sardineshunt.engine.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.TokenRequest;

/**
 * Tells an owner of accounts which share of the nodes it reaches. Links without calls don't notice a network partition,
 * so the owner calls a node of each data centre that was silent for a while, and all nodes once it has lost one. An
 * owner that grants nothing sends no messages. Confined to the control thread.
 */
final class OwnerReachability {
    private static final long MAXIMUM_SILENCE_MILLIS = 1_500;
    private static final long SURVEY_PERIOD_MILLIS = 4_000;
    private static final long GRANTING_MILLIS = 1_000;
    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final Frame CALL = Frame.newBuilder()
            .setTokenRequest(TokenRequest.getDefaultInstance())
            .build();

    private final TimerService timers;
    private final String ownId;
    private final NodeCalls nodes;
    private final Random random;
    private final Map<String, Long> heardFromNode = new HashMap<>();
    private final Map<String, Long> heardFromDataCentre = new HashMap<>();
    private long lastGrantMillis = Long.MIN_VALUE / 2;
    private long lastSurveyMillis = Long.MIN_VALUE / 2;
    private long lostNodes;

    OwnerReachability(TimerService timers, String ownId, NodeCalls nodes, Random random) {
        this.timers = timers;
        this.ownId = ownId;
        this.nodes = nodes;
        this.random = random;
    }

    /** Records that a node sent something. */
    void recordHeard(String nodeId) {
        heardFromNode.put(nodeId, timers.nowMillis());
        nodes.nodes()
                .filter(node -> node.address().nodeId().equals(nodeId))
                .forEach(node -> heardFromDataCentre.put(node.dataCentre(), timers.nowMillis()));
    }

    /** Records that this node grants tokens. */
    void recordGrant() {
        long now = timers.nowMillis();
        if (now - lastGrantMillis > GRANTING_MILLIS) {
            // Nobody was expected to send anything until now.
            nodes.nodes().forEach(node -> heardFromDataCentre.put(node.dataCentre(), now));
        }
        lastGrantMillis = now;
    }

    /** Returns the share of the nodes that are not known to be lost. */
    double share() {
        return share(nodes.nodes().filter(this::reaches).count());
    }

    /**
     * Returns the share of the nodes that have answered lately. A node that takes over an account doesn't know yet whom
     * else it has lost, so it counts only these.
     */
    double confirmedShare() {
        long now = timers.nowMillis();
        if (now - lastSurveyMillis >= SURVEY_PERIOD_MILLIS) {
            survey();
        }
        return share(nodes.nodes()
                .filter(this::reaches)
                .filter(node -> isOwn(node)
                        || now - heardFromNode.getOrDefault(node.address().nodeId(), Long.MIN_VALUE / 2)
                                < 2 * SURVEY_PERIOD_MILLIS)
                .count());
    }

    /** Calls nodes if this node grants tokens and hasn't heard from them; to be called several times a second. */
    void check() {
        long now = timers.nowMillis();
        if (now - lastGrantMillis > GRANTING_MILLIS) {
            return;
        }
        long nowLost = nodes.nodes().filter(node -> !reaches(node)).count();
        if (nowLost > lostNodes && now - lastSurveyMillis >= SURVEY_PERIOD_MILLIS / 2) {
            survey();
        }
        lostNodes = nowLost;
        Map<String, List<KnownNode>> silent = callable()
                .filter(node -> now - heardFromDataCentre.getOrDefault(node.dataCentre(), 0L) > MAXIMUM_SILENCE_MILLIS)
                .collect(Collectors.groupingBy(KnownNode::dataCentre));
        silent.forEach((dataCentre, candidates) -> {
            heardFromDataCentre.put(dataCentre, now);
            call(candidates.get(random.nextInt(candidates.size())));
        });
    }

    private void survey() {
        lastSurveyMillis = timers.nowMillis();
        callable().toList().forEach(this::call);
    }

    private void call(KnownNode node) {
        String nodeId = node.address().nodeId();
        nodes.call(nodeId, CALL, CALL_TIMEOUT_MILLIS, answer -> answer.ifPresent(received -> recordHeard(nodeId)));
    }

    private Stream<KnownNode> callable() {
        return nodes.nodes().filter(node -> !isOwn(node) && node.protocolLevel() > 0 && reaches(node));
    }

    private boolean reaches(KnownNode node) {
        return isOwn(node) || nodes.isReachable(node.address().nodeId());
    }

    private boolean isOwn(KnownNode node) {
        return node.address().nodeId().equals(ownId);
    }

    private double share(long reached) {
        return (double) Math.max(1, reached) / Math.max(1, nodes.nodes().count());
    }
}
