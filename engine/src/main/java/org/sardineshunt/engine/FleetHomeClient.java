package org.sardineshunt.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.account.RunningRequests.RunningRequest;
import org.sardineshunt.engine.backendserver.HomeService;
import org.sardineshunt.engine.caller.HomeClient;
import org.sardineshunt.engine.caller.NodeCalls;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.peer.NodeDirectory;
import org.sardineshunt.engine.peer.PeerAddress;
import org.sardineshunt.engine.peer.PeerFailure;
import org.sardineshunt.engine.peer.PeerNetwork;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.ConfigurationQuery;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.Inquiry;

/** Calls the homes of all nodes: the local one directly, others over peer links. Confined to the control thread. */
final class FleetHomeClient implements HomeClient, NodeCalls {
    private static final long CONFIGURATION_QUERY_TIMEOUT_MILLIS = 2_000;

    private final ControlEventLoop control;
    private final String ownId;
    private final NodeDirectory directory;
    private final PeerNetwork network;
    private final HomeService home;

    FleetHomeClient(
            ControlEventLoop control, String ownId, NodeDirectory directory, PeerNetwork network, HomeService home) {
        this.control = control;
        this.ownId = ownId;
        this.directory = directory;
        this.network = network;
        this.home = home;
    }

    @Override
    public Optional<RunningRequest> runningRequest(String requestId) {
        return home.runningRequests().find(requestId);
    }

    @Override
    public boolean tryAcquireCall(String requestId) {
        return home.runningRequests().tryAcquireCall(requestId);
    }

    @Override
    public boolean supportsStreaming(String nodeId) {
        return nodeId.equals(ownId)
                || directory
                        .node(nodeId)
                        .filter(node -> node.protocolLevel() >= PeerNetwork.PROTOCOL_LEVEL)
                        .isPresent();
    }

    @Override
    public Runnable attempt(
            String nodeId, Attempt attempt, AttemptStreams streams, Consumer<Either<PeerFailure, Answer>> onResult) {
        if (nodeId.equals(ownId)) {
            return home.attempt(
                    attempt, streams, answer -> control.execute(() -> onResult.accept(Either.right(answer))));
        }
        return address(nodeId)
                .map(address -> network.attempt(address, attempt, streams, onResult))
                .orElseGet(() -> {
                    control.execute(() -> onResult.accept(unknownNode(nodeId)));
                    return () -> {};
                });
    }

    @Override
    public void inquire(String nodeId, Inquiry inquiry, Consumer<Either<PeerFailure, Answer>> onResult) {
        inquireDirectly(nodeId, inquiry, result -> {
            Optional<PeerAddress> relay = result.isLeft() ? findRelay(nodeId) : Optional.empty();
            if (relay.isEmpty()) {
                onResult.accept(result);
                return;
            }
            Inquiry relayedInquiry = inquiry.toBuilder().setHomeNodeId(nodeId).build();
            network.inquire(relay.get(), relayedInquiry, onResult);
        });
    }

    /** Asks a home how an attempt ended, on behalf of a node that can't reach that home. */
    void relayInquiry(String nodeId, Inquiry inquiry, Consumer<Answer> onAnswer) {
        Inquiry directInquiry = inquiry.toBuilder().clearHomeNodeId().build();
        inquireDirectly(
                nodeId,
                directInquiry,
                result -> onAnswer.accept(result.getOrElseGet(failure -> Answer.newBuilder()
                        .setVerdict(Verdict.MAY_HAVE_RUN.ordinal())
                        .setReason(Reason.LINK_LOST.label())
                        .setOffered(true)
                        .build())));
    }

    @Override
    public Stream<KnownNode> nodes() {
        return directory.nodes().filter(node -> !node.stopping());
    }

    @Override
    public boolean isReachable(String nodeId) {
        return address(nodeId).filter(network::isReachable).isPresent();
    }

    @Override
    public void call(String nodeId, Frame message, long timeoutMillis, Consumer<Optional<Answer>> onResult) {
        Optional<KnownNode> node = directory.node(nodeId);
        List<Answer> answers = new ArrayList<>();
        callReachable(
                node.stream(),
                message,
                timeoutMillis,
                answers::add,
                () -> onResult.accept(answers.stream().findFirst()));
    }

    /** Sends a frame that has no reply to those of the nodes that are reachable, except this one. */
    void sendOneWay(Stream<KnownNode> nodes, Frame frame) {
        network.sendToReachable(
                nodes.map(KnownNode::address)
                        .filter(address -> !address.nodeId().equals(ownId))
                        .toList(),
                frame);
    }

    /**
     * Asks a node for its configuration.
     *
     * @param onReceived receives the encoded configuration if it is newer than the given version
     */
    void fetchConfiguration(String nodeId, long knownVersion, Consumer<byte[]> onReceived) {
        Frame query = Frame.newBuilder()
                .setConfigurationQuery(ConfigurationQuery.newBuilder().setKnownVersion(knownVersion))
                .build();
        callReachable(
                directory.node(nodeId).stream(),
                query,
                CONFIGURATION_QUERY_TIMEOUT_MILLIS,
                answer -> {
                    if (!answer.getConfiguration().isEmpty()) {
                        onReceived.accept(answer.getConfiguration().toByteArray());
                    }
                },
                () -> {});
    }

    /** Sends this node's record, once it has one, to those of the nodes that are reachable. */
    void sendOwnRecord(Stream<KnownNode> nodes) {
        directory
                .ownRecord()
                .map(record -> Frame.newBuilder().setNode(record).build())
                .ifPresent(frame -> sendOneWay(nodes, frame));
    }

    /**
     * Calls those of the nodes that are reachable, except this one.
     *
     * @param timeoutMillis time after which calls without an answer are cancelled
     * @param onAnswer receives each answer
     * @param onEnded called once when all calls have ended
     */
    void callReachable(
            Stream<KnownNode> nodes, Frame message, long timeoutMillis, Consumer<Answer> onAnswer, Runnable onEnded) {
        Map<PeerAddress, Runnable> cancellations = new HashMap<>();
        List<PeerAddress> called = nodes.map(KnownNode::address)
                .filter(address -> !address.nodeId().equals(ownId))
                .filter(network::isReachable)
                .toList();
        if (called.isEmpty()) {
            onEnded.run();
            return;
        }
        called.forEach(address -> cancellations.put(address, network.call(address, message, result -> {
            cancellations.remove(address);
            result.peek(onAnswer);
            if (cancellations.isEmpty()) {
                onEnded.run();
            }
        })));
        control.after(timeoutMillis, () -> {
            if (!cancellations.isEmpty()) {
                List<Runnable> unanswered = List.copyOf(cancellations.values());
                cancellations.clear();
                unanswered.forEach(Runnable::run);
                onEnded.run();
            }
        });
    }

    private void inquireDirectly(String nodeId, Inquiry inquiry, Consumer<Either<PeerFailure, Answer>> onResult) {
        address(nodeId)
                .ifPresentOrElse(
                        address -> network.inquire(address, inquiry, onResult),
                        () -> onResult.accept(unknownNode(nodeId)));
    }

    // A network partition seldom separates a home from all nodes: another node of its data centre may still reach it
    // and be reachable from here.
    private Optional<PeerAddress> findRelay(String nodeId) {
        Optional<String> dataCentre = directory.node(nodeId).map(KnownNode::dataCentre);
        return directory
                .nodes()
                .filter(node -> dataCentre.filter(node.dataCentre()::equals).isPresent())
                .map(KnownNode::address)
                .filter(address -> !address.nodeId().equals(nodeId))
                .filter(address -> !address.nodeId().equals(ownId))
                .filter(network::isReachable)
                .findAny();
    }

    private Optional<PeerAddress> address(String nodeId) {
        return directory.node(nodeId).map(KnownNode::address);
    }

    private static Either<PeerFailure, Answer> unknownNode(String nodeId) {
        return Either.left(new PeerFailure(false, 0, "node '" + nodeId + "' is not in the directory"));
    }
}
