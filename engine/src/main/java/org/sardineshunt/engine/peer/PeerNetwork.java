package org.sardineshunt.engine.peer;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.control.Either;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.engine.AttemptStreams;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.ConfigurationQuery;
import org.sardineshunt.engine.protocol.EngineMessages.Departure;
import org.sardineshunt.engine.protocol.EngineMessages.DepartureQuery;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.Hello;
import org.sardineshunt.engine.protocol.EngineMessages.Inquiry;
import org.sardineshunt.engine.protocol.EngineMessages.Pong;
import org.sardineshunt.engine.protocol.EngineMessages.TokenRequest;

/** Links to and from other nodes, opened on first use. Confined to the control thread except for {@link #listen}. */
public final class PeerNetwork {
    /** Level of this build: 0 for messages up to departure queries, 1 for streamed bodies, tokens and configurations. */
    public static final int PROTOCOL_LEVEL = 1;

    /** Longest body of a request or an answer that a link carries. */
    public static final int MAXIMUM_BODY_BYTES = 8 << 20;

    private static final int PROTOCOL_VERSION = 1;
    private static final int MAXIMUM_HEAD_BYTES = 256 << 10;
    private static final int MAXIMUM_FRAME_BYTES = MAXIMUM_BODY_BYTES + MAXIMUM_HEAD_BYTES;
    private static final int CONNECT_TIMEOUT_MILLIS = 600;
    private static final long FIRST_PROBE_DELAY_MILLIS = 100;
    private static final long MAXIMUM_PROBE_DELAY_MILLIS = 4_000;

    // Network failures last seconds to minutes; after that a node is probed only when its row shows a restart, so that
    // instances that are gone for good cost no messages.
    private static final long PROBE_DURATION_MILLIS = 120_000;

    private final ControlEventLoop control;
    private final EventLog log;
    private final EventLoopGroup loops;
    private final Hello ownHello;
    private final MemoryBudget memory;
    private final Map<PeerAddress, PeerLink> links = new HashMap<>();
    private final Map<PeerAddress, LostNode> lostNodes = new HashMap<>();
    private final Set<FrameChannel> incomingChannels = new HashSet<>();

    // The last two incarnations of each node that has opened a link, the newer one last.
    private final Map<String, List<Long>> lastIncarnations = new HashMap<>();

    private FrameHandler handler;
    private Channel serverChannel;
    private boolean closed;

    /**
     * Creates a network without links.
     *
     * @param nodeId ID of this node
     * @param incarnation start time of this process, in milliseconds since the epoch
     * @param memory memory for unsent frames and for the attempts of other nodes
     */
    public PeerNetwork(
            ControlEventLoop control,
            EventLog log,
            EventLoopGroup loops,
            String nodeId,
            long incarnation,
            MemoryBudget memory) {
        this.control = control;
        this.log = log;
        this.loops = loops;
        this.memory = memory;
        ownHello = Hello.newBuilder()
                .setProtocolVersion(PROTOCOL_VERSION)
                .setNodeId(nodeId)
                .setIncarnation(incarnation)
                .build();
    }

    /** Starts listening and returns the port; for port 0 the operating system chooses one. */
    public int listen(InetSocketAddress address, FrameHandler newHandler) {
        handler = newHandler;
        serverChannel = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        FrameChannel.install(channel, MAXIMUM_FRAME_BYTES, control, memory, new IncomingLink());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /**
     * Sends an attempt to a home.
     *
     * @param onResult called once, unless the attempt is cancelled
     * @return an action that cancels the attempt
     */
    public Runnable attempt(
            PeerAddress home, Attempt attempt, AttemptStreams streams, Consumer<Either<PeerFailure, Answer>> onResult) {
        return linkTo(home).call(Frame.newBuilder().setAttempt(attempt), streams, onResult);
    }

    /**
     * Sends a message that is answered.
     *
     * @param onResult called once, unless the call is cancelled
     * @return an action that cancels the call
     */
    public Runnable call(PeerAddress node, Frame message, Consumer<Either<PeerFailure, Answer>> onResult) {
        return linkTo(node).call(message.toBuilder(), onResult);
    }

    /** Asks a home how an attempt ended; opens a new link if the last one is closed. */
    public void inquire(PeerAddress home, Inquiry inquiry, Consumer<Either<PeerFailure, Answer>> onResult) {
        linkTo(home).call(Frame.newBuilder().setInquiry(inquiry), onResult);
    }

    /** Sends a frame that has no reply to those of the nodes that are reachable. */
    public void sendToReachable(Collection<PeerAddress> nodes, Frame frame) {
        nodes.stream().filter(this::isReachable).forEach(node -> linkTo(node).send(frame));
    }

    /**
     * Returns whether a node is reachable: true until its link is lost or another node responds at its address. A lost
     * node is probed in the background and stays unreachable until it has sent its hello over a new link, so that no
     * request is risked to test the connection.
     */
    public boolean isReachable(PeerAddress node) {
        return !lostNodes.containsKey(node);
    }

    /** Probes a lost node at once and restarts its probe schedule; called when its row shows a restart. */
    public void probeIfLost(PeerAddress node) {
        if (lostNodes.computeIfPresent(node, (address, previous) -> LostNode.since(control.nowMillis())) != null) {
            probe(node);
        }
    }

    /** Discards the lost nodes that are not in the given set, which ends their probes. */
    public void forgetLostNodesExcept(Set<PeerAddress> nodes) {
        lostNodes.keySet().retainAll(nodes);
    }

    /** Closes the listener and all links. */
    public void close() {
        closed = true;
        if (serverChannel != null) {
            serverChannel.close();
        }
        List.copyOf(links.values()).forEach(link -> link.close("this node is stopping"));
        Set.copyOf(incomingChannels).forEach(FrameChannel::close);
    }

    private PeerLink linkTo(PeerAddress address) {
        PeerLink existing = links.get(address);
        if (existing != null && !existing.isClosed()) {
            return existing;
        }
        PeerLink link = new PeerLink(address, ownHello, control, memory, new LinkListener());
        links.put(address, link);
        new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        FrameChannel.install(channel, MAXIMUM_FRAME_BYTES, control, memory, link);
                    }
                })
                .connect(new InetSocketAddress(address.host(), address.port()))
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        String cause = String.valueOf(connected.cause().getMessage());
                        control.execute(() -> link.close(cause));
                    }
                });
        return link;
    }

    private void recordIncarnation(Hello hello) {
        long incarnation = hello.getIncarnation();
        lastIncarnations.merge(
                hello.getNodeId(),
                List.of(incarnation),
                (known, added) ->
                        known.contains(incarnation) ? known : List.of(known.get(known.size() - 1), incarnation));
    }

    // A lost node that opens a link runs again, whatever the table says of it yet.
    private void probeLostNode(String nodeId) {
        Optional<PeerAddress> lost = lostNodes.keySet().stream()
                .filter(address -> address.nodeId().equals(nodeId))
                .findFirst();
        lost.ifPresent(this::probeIfLost);
    }

    private void probe(PeerAddress address) {
        if (!closed && lostNodes.containsKey(address)) {
            linkTo(address);
        }
    }

    /**
     * A node whose link was lost.
     *
     * @param sinceMillis time of the loss, on the clock of the control thread
     * @param delayMillis delay before the next probe
     */
    private record LostNode(long sinceMillis, long delayMillis) {
        static LostNode since(long nowMillis) {
            return new LostNode(nowMillis, FIRST_PROBE_DELAY_MILLIS);
        }

        LostNode withNextDelay() {
            return new LostNode(sinceMillis, Math.min(MAXIMUM_PROBE_DELAY_MILLIS, 2 * delayMillis));
        }
    }

    /** Records which nodes are lost, and schedules their probes. */
    private final class LinkListener implements PeerLink.Listener {
        @Override
        public void helloReceived(PeerLink link, String nodeId) {
            PeerAddress address = link.address();
            if (!nodeId.equals(address.nodeId())) {
                // The link stays open, so pending calls get their refusals; the intended node counts as lost meanwhile.
                if (lostNodes.put(address, LostNode.since(control.nowMillis())) == null) {
                    logLost(address, "its address answers as node '" + nodeId + "'");
                }
            } else if (lostNodes.remove(address) != null) {
                log.event("peer-regained").with("peer", address.nodeId()).write();
                handler.regained(address.nodeId());
            }
        }

        @Override
        public void closed(PeerLink link, String cause) {
            PeerAddress address = link.address();
            if (!links.remove(address, link) || closed) {
                return;
            }
            long now = control.nowMillis();
            LostNode previous = lostNodes.get(address);
            if (previous == null) {
                logLost(address, cause);
            }
            LostNode state = previous == null ? LostNode.since(now) : previous.withNextDelay();
            lostNodes.put(address, state);
            if (now - state.sinceMillis() < PROBE_DURATION_MILLIS) {
                control.after(state.delayMillis(), () -> probe(address));
            }
        }

        private void logLost(PeerAddress address, String cause) {
            log.event("peer-lost")
                    .with("peer", address.nodeId())
                    .with("cause", cause)
                    .write();
        }
    }

    /** Handles the frames that other nodes send, on the control thread. */
    public interface FrameHandler {
        /** Runs an attempt of a node and returns an action that cancels it. */
        Runnable attempt(String nodeId, Attempt attempt, AttemptStreams streams, Consumer<Answer> onAnswer);

        /** Reports how an attempt ended whose link was lost. */
        void inquire(Inquiry inquiry, Consumer<Answer> onAnswer);

        /** Records a departure of a node's upstream and returns the answer. */
        Answer recordDeparture(String nodeId, Departure departure);

        /** Returns the departure of a node's upstream that was recorded, as an answer. */
        Answer findDeparture(String nodeId);

        /** Returns the configuration in force if it is newer than the one that the sender knows, as an answer. */
        Answer findConfiguration(ConfigurationQuery query);

        /** Called when a lost node is reachable again; it has missed what was sent meanwhile. */
        void regained(String nodeId);

        /** Answers a node's request for tokens of a client account. */
        void grantTokens(String nodeId, TokenRequest request, Consumer<Answer> onAnswer);

        /** Handles a frame that has no reply. */
        void receiveOneWay(String nodeId, Frame frame);
    }

    /** The server side of a connection from a peer. */
    private final class IncomingLink implements FrameChannel.Listener {
        private IncomingAttempts attempts;
        private String nodeId = "";
        private boolean open;

        @Override
        public void opened(FrameChannel channel) {
            open = true;
            incomingChannels.add(channel);
            channel.send(Frame.newBuilder().setHello(ownHello).build());
        }

        @Override
        public void received(FrameChannel channel, Frame frame) {
            long correlation = frame.getCorrelation();
            switch (frame.getBodyCase()) {
                case HELLO -> acceptHello(channel, frame.getHello());
                case PING -> channel.send(
                        Frame.newBuilder().setPong(Pong.getDefaultInstance()).build());
                case ATTEMPT -> attempts(channel)
                        .run(
                                correlation,
                                frame.getAttempt(),
                                (attempt, streams, onAnswer) -> handler.attempt(nodeId, attempt, streams, onAnswer));
                case BODY_CHUNK -> attempts(channel).receiveChunk(correlation, frame.getBodyChunk());
                case BODY_CREDIT -> attempts(channel)
                        .addCredit(correlation, frame.getBodyCredit().getBytes());
                case INQUIRY -> handler.inquire(frame.getInquiry(), answer -> reply(channel, correlation, answer));
                case DEPARTURE -> reply(channel, correlation, handler.recordDeparture(nodeId, frame.getDeparture()));
                case DEPARTURE_QUERY -> reply(channel, correlation, findDeparture(frame.getDepartureQuery()));
                case TOKEN_REQUEST -> handler.grantTokens(
                        nodeId, frame.getTokenRequest(), answer -> reply(channel, correlation, answer));
                case CONFIGURATION_QUERY -> reply(
                        channel, correlation, handler.findConfiguration(frame.getConfigurationQuery()));
                case CANCEL -> attempts(channel).cancel(correlation);
                default -> handler.receiveOneWay(nodeId, frame);
            }
        }

        @Override
        public void closed(FrameChannel channel, String cause) {
            open = false;
            incomingChannels.remove(channel);
            // No one can receive these answers any more, so the attempts are cancelled. A home lets those finish that
            // may have run and must not be repeated; their entries inquire about them later.
            attempts(channel).cancelAll();
        }

        private IncomingAttempts attempts(FrameChannel channel) {
            if (attempts == null) {
                attempts = new IncomingAttempts(control, memory, frame -> !open || channel.send(frame));
            }
            return attempts;
        }

        private void acceptHello(FrameChannel channel, Hello hello) {
            nodeId = hello.getNodeId();
            recordIncarnation(hello);
            probeLostNode(nodeId);
            if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
                log.event("peer-refused")
                        .with("peer", nodeId)
                        .with("protocol", hello.getProtocolVersion())
                        .write();
                channel.close();
            }
        }

        private Answer findDeparture(DepartureQuery query) {
            boolean knewPreviousProcess =
                    lastIncarnations.getOrDefault(nodeId, List.of()).contains(query.getPreviousIncarnation());
            return handler.findDeparture(nodeId).toBuilder()
                    .setKnewPreviousProcess(knewPreviousProcess)
                    .build();
        }

        private void reply(FrameChannel channel, long correlation, Answer answer) {
            if (open) {
                channel.send(Frame.newBuilder()
                        .setCorrelation(correlation)
                        .setAnswer(answer)
                        .build());
            }
        }
    }
}
