package org.sardineshunt.node;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.jboss.logging.Logger;
import org.sardineshunt.coordination.RendezvousHashing;
import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.coordination.membership.PauseDetector;
import org.sardineshunt.kit.HttpEndpoint;
import org.sardineshunt.kit.HttpHandler;
import org.sardineshunt.kit.HttpResponse;
import org.sardineshunt.node.backendserver.BackendServerClient;
import org.sardineshunt.node.backendserver.HomeService;
import org.sardineshunt.node.caller.CallerEndpoint;
import org.sardineshunt.node.caller.CallerService;
import org.sardineshunt.node.operator.OperatorService;
import org.sardineshunt.node.peer.CrashRegistry;
import org.sardineshunt.node.peer.FleetGossip;
import org.sardineshunt.node.peer.FrameFilter;
import org.sardineshunt.node.peer.LinkTraffic;
import org.sardineshunt.node.peer.MembershipService;
import org.sardineshunt.node.peer.PeerClient;
import org.sardineshunt.node.peer.PeerLinks;
import org.sardineshunt.node.peer.PeerRequestDispatcher;
import org.sardineshunt.node.peer.PeerServer;
import org.sardineshunt.node.platform.ClaimStore;
import org.sardineshunt.node.platform.ConfigurationService;
import org.sardineshunt.node.platform.PlatformClient;
import org.sardineshunt.protocol.PeerFraming;
import org.sardineshunt.protocol.PeerMessages.Hello;

/**
 * One node of the fleet: the entry for its callers and the home of the upstreams that announce themselves to it.
 *
 * <pre>{@code
 * Node node = Node.start(settings, FrameFilter.PASS_ALL);
 * node.stop();
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class Node {
    private static final Logger LOG = Logger.getLogger(Node.class);
    private static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(1_500);
    private static final int PEER_EVENT_LOOPS = 2;
    private static final int CALLER_EVENT_LOOPS = 2;
    private static final long JOIN_RETRY_DELAY_MILLIS = 300;
    private static final long PAUSE_CHECK_PERIOD_MILLIS = 100;

    // During a longer pause of the process its leases may have run out and its view of the fleet may be out of date.
    private static final long MAXIMUM_TIMER_GAP_MILLIS = 1_500;

    private static final long STOP_POLL_MILLIS = 20;
    private static final int STATE_CHANGE_GOSSIP_TARGETS = 6;
    private static final int CRASH_GOSSIP_TARGETS = 3;

    private final NodeSettings settings;
    private final ControlThread control;
    private final EventLoopGroup peerEventLoops =
            new MultiThreadIoEventLoopGroup(PEER_EVENT_LOOPS, NioIoHandler.newFactory());
    private final EventLoopGroup callerEventLoops =
            new MultiThreadIoEventLoopGroup(CALLER_EVENT_LOOPS, NioIoHandler.newFactory());
    private final NodeMetrics metrics = new NodeMetrics();
    private final LinkTraffic traffic = new LinkTraffic();
    private final PlatformClient platform;
    private final BackendServerClient backendServers;
    private final PeerLinks links;
    private final PeerServer peerServer;
    private final HttpEndpoint operatorEndpoint;
    private final CallerEndpoint callerEndpoint;
    private final MembershipService membership;
    private final ConfigurationService configuration;
    private final HomeService home;
    private final CallerService callers;
    private final CompletableFuture<Void> firstReady = new CompletableFuture<>();
    private final CompletableFuture<Void> warmUpEnded = new CompletableFuture<>();
    private volatile boolean ready;

    private Node(NodeSettings settings, FrameFilter filter) {
        this.settings = settings;
        control = new ControlThread(settings.nodeId());
        long incarnation = System.currentTimeMillis();
        Random random = new Random(RendezvousHashing.hash(settings.nodeId()) ^ incarnation);
        Hello hello = Hello.newBuilder()
                .setProtocolVersion(PeerFraming.PROTOCOL_VERSION)
                .setNodeId(settings.nodeId())
                .setIncarnation(incarnation)
                .build();
        int maximumFrameBytes = settings.limits().frame().bytes();
        platform = new PlatformClient(settings.platform(), PLATFORM_TIMEOUT);
        backendServers = new BackendServerClient(settings.limits().body().bytes());
        links = new PeerLinks(
                peerEventLoops,
                hello,
                maximumFrameBytes,
                settings.timing().linkSilence().millis(),
                filter,
                traffic);
        AtomicReference<PeerServer.RequestHandler> peerHandler = new AtomicReference<>();
        peerServer = new PeerServer(
                hello,
                maximumFrameBytes,
                filter,
                traffic,
                (node, request) -> peerHandler.get().handle(node, request),
                metrics::recordProtocolViolation);
        int peerPort = peerServer.listen(
                peerEventLoops, settings.ports().host(), settings.ports().peer());
        AtomicReference<HttpHandler> operatorHandler = new AtomicReference<>(request ->
                CompletableFuture.completedFuture(HttpResponse.problem(503, "starting", "the node is still starting")));
        operatorEndpoint = startOperatorEndpoint(operatorHandler);
        configuration = new ConfigurationService(control, platform);
        CrashRegistry crashes = new CrashRegistry(control);
        FleetGossip gossip = new FleetGossip(configuration, crashes);
        membership = new MembershipService(
                control, links, settings.timing(), ownRecord(incarnation, peerPort), random, gossip);
        gossip.onNewerRevision(nodeId ->
                membership.table().find(nodeId).ifPresent(member -> membership.syncWith(nodeId, member.endpoint())));
        // Sent at once: before the next regular probe the request could crash upstreams of other nodes.
        crashes.onCrashRecorded(() -> membership.gossipNow(CRASH_GOSSIP_TARGETS));
        RotationView rotations = new RotationView(membership.table(), configuration, settings.floorShare(), control);
        membership.onChange(rotations::invalidate);
        configuration.onChange(rotations::invalidate);
        PeerClient peers = new PeerClient(control, links, membership);
        HomeService.NodeContext context = new HomeService.NodeContext(control, settings, metrics, crashes);
        home = new HomeService(context, membership, configuration, rotations, peers, backendServers);
        ClaimStore claims = new ClaimStore(control, platform, settings.limits().claimsPerSecond());
        callers = new CallerService(context, peers, home, rotations, claims, random);
        OperatorService operator =
                new OperatorService(context, membership, configuration, rotations, home, () -> ready);
        operatorHandler.set(operator::handle);
        peerHandler.set(new PeerRequestDispatcher(
                control,
                membership,
                new PeerRequestDispatcher.Handlers(
                        home::attempt, home::abandon, callers::runKeyed, home::addSamples, callers::receiveHandover)));
        callerEndpoint = startCallerEndpoint();
    }

    /**
     * Starts a node. It refuses callers until it is warmed up and knows the fleet's configuration.
     *
     * @param filter decides which frames are sent to other nodes; tests cut links with it
     */
    public static Node start(NodeSettings settings, FrameFilter filter) {
        Node node = new Node(settings, filter);
        node.control.execute(node::startServices);
        return node;
    }

    /** Returns the port that it listens on for callers. */
    public int callerPort() {
        return callerEndpoint.port();
    }

    /** Returns the port that it listens on for operators, announcements and metrics. */
    public int operatorPort() {
        return operatorEndpoint.port();
    }

    /** Returns the port that it listens on for other nodes. */
    public int peerPort() {
        return membership.self().endpoint().peerPort();
    }

    /** Returns the counts of what the node has sent over its peer links. */
    public LinkTraffic traffic() {
        return traffic;
    }

    /** Returns a future that completes when the node becomes ready to serve callers for the first time. */
    public CompletableFuture<Void> whenReady() {
        return firstReady;
    }

    /**
     * Stops the node without cutting off requests in flight, and blocks until it has stopped.
     *
     * <p>The node tells its peers that it leaves and goes on serving callers for the stop grace of the settings, while
     * callers and peers learn of it. Then it refuses new requests, waits for those in flight, at most as long as the
     * stop limit of the settings, and hands the outcomes of keyed requests over to a successor.
     *
     * @return true if no request was cut off
     */
    public boolean stop() {
        LOG.infof("node '%s' is stopping", settings.nodeId());
        control.execute(() -> {
            callers.startClosingConnections();
            home.stopAccepting();
            membership.publishLeft("");
            membership.gossipNow(STATE_CHANGE_GOSSIP_TARGETS);
        });
        sleep(settings.timing().stopGrace().millis());
        control.execute(callers::stopAccepting);
        boolean complete = awaitIdle();
        control.submit(callers::handOver)
                .thenCompose(successor -> successor)
                .thenAcceptAsync(
                        successor -> {
                            // Peers may ask the successor only once it has the outcomes.
                            membership.publishLeft(successor);
                            membership.gossipNow(STATE_CHANGE_GOSSIP_TARGETS);
                        },
                        control)
                .orTimeout(settings.timing().linkSilence().millis() * 2, TimeUnit.MILLISECONDS)
                .exceptionally(failure -> null)
                .join();
        callerEndpoint.closeGracefully();
        kill();
        return complete;
    }

    /** Stops the node at once without finishing requests in flight, as a crash would. */
    public void kill() {
        ready = false;
        control.close();
        callerEndpoint.close();
        operatorEndpoint.close();
        peerServer.close();
        links.close();
        backendServers.close();
        platform.close();
        peerEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        callerEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private HttpEndpoint startOperatorEndpoint(AtomicReference<HttpHandler> handler) {
        HttpEndpoint.Builder builder = HttpEndpoint.builder()
                .host(settings.ports().host())
                .port(settings.ports().operator())
                .maximumBodyBytes(settings.limits().body().bytes());
        List.of("GET", "POST", "DELETE")
                .forEach(method ->
                        builder.route(method, "/*", request -> handler.get().handle(request)));
        return builder.start();
    }

    private CallerEndpoint startCallerEndpoint() {
        return CallerEndpoint.listen(
                callerEventLoops,
                settings.ports().host(),
                settings.ports().caller(),
                settings.limits().body().bytes(),
                callers::handle);
    }

    private Member ownRecord(long incarnation, int peerPort) {
        return new Member(
                settings.nodeId(),
                incarnation,
                1,
                Member.State.ALIVE,
                new Member.Endpoint(settings.ports().host(), peerPort, operatorEndpoint.port()),
                new Member.Location(settings.dataCentre(), settings.region()),
                "",
                List.of());
    }

    private void startServices() {
        membership.start();
        home.start();
        control.every(settings.timing().pollPeriod().millis(), this::pollIfSelected);
        warmUp();
        PauseDetector pauseDetector = new PauseDetector(MAXIMUM_TIMER_GAP_MILLIS);
        control.every(PAUSE_CHECK_PERIOD_MILLIS, () -> checkForPause(pauseDetector));
        joinFleet();
    }

    private void warmUp() {
        new WarmUp(backendServers, settings.ports().host())
                .run(callerPort(), operatorPort(), membership::syncWithSelf)
                .whenComplete((done, failure) -> warmUpEnded.complete(null));
    }

    /** Synchronises with the seeds and the platform, then makes the node ready if it has a configuration by then. */
    private void joinFleet() {
        CompletableFuture<?>[] sources = java.util.stream.Stream.concat(
                        settings.seeds().stream().map(seed -> membership.syncWith("", parseEndpoint(seed))),
                        java.util.stream.Stream.of(configuration.load()))
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(sources)
                .handle((done, failure) -> null)
                .thenCompose(done -> warmUpEnded)
                .thenRunAsync(this::becomeReady, control);
    }

    private void becomeReady() {
        if (!configuration.hasConfiguration()) {
            LOG.warn("got no configuration from peers or from the platform; retrying");
            control.after(JOIN_RETRY_DELAY_MILLIS, this::joinFleet);
            return;
        }
        callers.setReady(true);
        ready = true;
        firstReady.complete(null);
        membership.gossipNow(STATE_CHANGE_GOSSIP_TARGETS);
        LOG.infof(
                "node '%s' is ready at revision %d",
                settings.nodeId(), configuration.intents().revision());
    }

    private static Member.Endpoint parseEndpoint(String seed) {
        int colon = seed.lastIndexOf(':');
        return new Member.Endpoint(seed.substring(0, colon), Integer.parseInt(seed.substring(colon + 1)), 0);
    }

    private void pollIfSelected() {
        List<String> sameDataCentre = membership
                .table()
                .reachable()
                .filter(member -> member.location().dataCentre().equals(settings.dataCentre()))
                .map(Member::nodeId)
                .toList();
        if (ConfigurationService.isPoller(settings.nodeId(), sameDataCentre)) {
            configuration.poll();
        }
    }

    private void checkForPause(PauseDetector pauseDetector) {
        long pause = pauseDetector.tick(control.nowMillis());
        if (pause > 0 && ready) {
            LOG.warnf("the process was paused for %d ms; synchronising with peers before serving callers again", pause);
            metrics.recordPause();
            callers.setReady(false);
            joinFleet();
        }
    }

    /** Waits until no request is in flight; returns false if the stop limit passes before. */
    private boolean awaitIdle() {
        long deadlineNanos = System.nanoTime() + settings.timing().stopLimit().millis() * 1_000_000;
        while (System.nanoTime() < deadlineNanos) {
            int inFlight =
                    control.submit(() -> callers.inFlight() + home.inFlight()).join();
            if (inFlight == 0) {
                return true;
            }
            sleep(STOP_POLL_MILLIS);
        }
        return false;
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
