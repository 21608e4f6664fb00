package org.sardineshunt.engine;

import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.sardineshunt.coordination.RendezvousHashing;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.placement.PlacementPolicy;
import org.sardineshunt.coordination.rotation.Rotation;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;
import org.sardineshunt.engine.backendserver.HomeService;
import org.sardineshunt.engine.caller.EntryService;
import org.sardineshunt.engine.caller.HomeRegistry;
import org.sardineshunt.engine.http.HttpClient;
import org.sardineshunt.engine.http.HttpServer;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.peer.NodeDirectory;
import org.sardineshunt.engine.peer.PeerAddress;
import org.sardineshunt.engine.peer.PeerNetwork;
import org.sardineshunt.engine.platform.TableStore;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.CrashReport;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.Inquiry;

/**
 * Entry for callers and home of one upstream, without a notion of how upstreams and configuration are announced.
 *
 * <pre>{@code
 * Engine engine = new Engine(settings, log, counters);
 * engine.start(store);
 * engine.configure(configuration);
 * engine.announce(announcement, () -> acknowledge());
 * engine.stop().join();
 * }</pre>
 *
 * <p>Thread-safe: all state belongs to the control thread.
 */
public final class Engine {
    private static final double TRIAL_SHARE = 0.35;
    private static final int CRASH_VICTIMS = 2;
    private static final long CRASH_MEMORY_MILLIS = 120_000;
    private static final long STORED_LIMIT_MILLIS = 600;
    private static final long STOP_POLL_MILLIS = 100;
    private static final long STOP_QUIET_MILLIS = 300;
    private static final long STOP_LAST_ANSWERS_MILLIS = 350;
    private static final long SHUTDOWN_QUIET_MILLIS = 50;
    private static final long SHUTDOWN_LONGEST_MILLIS = 500;
    private static final long STOP_LONGEST_DETECTION_MILLIS = 2_300;

    private final EngineSettings settings;
    private final EventLog log;
    private final MetricRegistry counters;
    private final long incarnation = System.currentTimeMillis();
    private final Random random;
    private final EventLoopGroup controlGroup;
    private final EventLoopGroup trafficGroup;
    private final ControlEventLoop control;
    private final HttpClient upstreamClient;
    private final PeerNetwork network;
    private final HttpServer callerServer;
    private final CrashingRequestDetector crashes = new CrashingRequestDetector(CRASH_VICTIMS, CRASH_MEMORY_MILLIS);
    private volatile FleetConfiguration configuration;
    private volatile boolean ready;
    private volatile boolean stopping;
    private NodeDirectory directory;
    private HomeRegistry homeRegistry;
    private HomeService home;
    private EntryService entry;
    private PeerHomes peers;
    private LoadTeller loadTeller;
    private PeerAddress ownAddress;

    /** Creates an engine that doesn't listen yet. */
    public Engine(EngineSettings settings, EventLog log, MetricRegistry counters) {
        this.settings = settings;
        this.log = log;
        this.counters = counters;
        random = new Random(RendezvousHashing.hash(settings.nodeId()) ^ incarnation);
        controlGroup =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("control"), NioIoHandler.newFactory());
        trafficGroup =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("traffic"), NioIoHandler.newFactory());
        control = new ControlEventLoop((EventLoop) controlGroup.next(), log);
        upstreamClient = new HttpClient(
                (EventLoop) trafficGroup.next(), settings.headers().requestId());
        network = new PeerNetwork(control, log, trafficGroup, settings.nodeId(), incarnation);
        callerServer = new HttpServer(this::limits, exchange -> entry.handle(exchange));
    }

    /** Returns the thread that owns the engine's state. */
    public ControlEventLoop control() {
        return control;
    }

    /** Returns the event loops for connections. */
    public EventLoopGroup trafficGroup() {
        return trafficGroup;
    }

    /** Starts listening and following the table; returns the port for callers once both ports are open. */
    public int start(TableStore store) {
        directory = new NodeDirectory(control, log, store, settings.nodeId(), random, this::directoryChanged);
        homeRegistry = new HomeRegistry(control, directory, settings.dataCentre(), network::isReachable);
        EngineContext context = new EngineContext(control, log, counters, settings, incarnation, crashes, random);
        home = new HomeService(context, upstreamClient, homeRegistry::baseline, new HomeListener());
        PlacementPolicy placement = new PlacementPolicy(
                Rotation.builder().floorShare(settings.limits().floorShare()).build(), TRIAL_SHARE);
        peers = new PeerHomes(control, settings.nodeId(), directory, network, home);
        loadTeller = new LoadTeller(control, settings.nodeId(), directory, homeRegistry, peers, home);
        entry = new EntryService(context, peers, homeRegistry, placement, () -> Optional.ofNullable(configuration));
        int peerPort = network.listen(settings.peerAddress(), new PeerHandlers());
        ownAddress = new PeerAddress(settings.nodeId(), settings.peerAddress().getHostString(), peerPort);
        int callerPort = callerServer.listen(trafficGroup, settings.callerAddress());
        control.execute(directory::start);
        log.event("started")
                .with("incarnation", incarnation)
                .with("dataCentre", settings.dataCentre())
                .with("service", settings.callerService())
                .write();
        return callerPort;
    }

    /** Adopts a configuration unless a newer one is in force. */
    public void configure(FleetConfiguration newer) {
        control.execute(() -> {
            if (configuration != null && newer.version() <= configuration.version()) {
                return;
            }
            configuration = newer;
            log.event("configuration-adopted")
                    .with("version", newer.version())
                    .with("routes", newer.routeCount())
                    .write();
            becomeReady();
        });
    }

    /** Returns the configuration in force. */
    public Optional<FleetConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /** Returns whether callers may be sent here. */
    public boolean isReady() {
        return ready && !stopping;
    }

    /**
     * Takes an announcement of the upstream beside this node.
     *
     * @param acknowledge called when it holds even if this process ends: at once if nothing changed, else when the table
     *     has it or doesn't answer in time
     */
    public void announce(Announcement announcement, Runnable acknowledge) {
        control.execute(() -> acknowledge(home.announce(announcement), acknowledge));
    }

    /** Takes the news that the upstream beside this node leaves; acknowledged like an announcement. */
    public void leave(String upstreamId, long born, Runnable acknowledge) {
        control.execute(() -> acknowledge(home.leave(upstreamId, born), acknowledge));
    }

    /** Takes no new work, finishes what is in flight, and ends all threads. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        control.execute(() -> {
            stopping = true;
            long begun = control.nowMillis();
            log.event("stopping")
                    .with("requests", entry.inFlight())
                    .with("attempts", home.pending())
                    .write();
            home.stopTaking();
            callerServer.closeAfterResponses();
            publish(() -> {});
            control.after(STOP_POLL_MILLIS, () -> awaitIdle(begun, stopped));
        });
        return stopped;
    }

    /** Ends at once, as a crash would; threads end soon after. */
    public void kill() {
        if (controlGroup.isShuttingDown()) {
            return;
        }
        stopping = true;
        callerServer.close();
        upstreamClient.close();
        control.execute(network::close);
        controlGroup.shutdownGracefully(SHUTDOWN_QUIET_MILLIS, SHUTDOWN_LONGEST_MILLIS, TimeUnit.MILLISECONDS);
        trafficGroup.shutdownGracefully(SHUTDOWN_QUIET_MILLIS, SHUTDOWN_LONGEST_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void awaitIdle(long begun, CompletableFuture<Void> stopped) {
        long elapsed = control.nowMillis() - begun;
        if (elapsed >= settings.limits().stopTimeoutMillis() - STOP_LAST_ANSWERS_MILLIS) {
            entry.timeOutAll();
        }
        boolean undetected = elapsed < STOP_LONGEST_DETECTION_MILLIS;
        boolean busy = entry.inFlight() > 0 || home.pending() > 0 || callerServer.busyConnections() > 0;
        if (elapsed < settings.limits().stopTimeoutMillis()
                && (undetected || busy || callerServer.openConnections() > 0)) {
            if (!undetected) {
                callerServer.closeIdleConnections(STOP_QUIET_MILLIS);
            }
            control.after(STOP_POLL_MILLIS, () -> awaitIdle(begun, stopped));
            return;
        }
        log.event("stopped")
                .with("millis", elapsed)
                .with("cutOff", entry.inFlight() + home.pending())
                .write();
        callerServer.close();
        network.close();
        upstreamClient.close();
        stopped.complete(null);
    }

    private CallerLimits limits() {
        FleetConfiguration current = configuration;
        return current == null ? CallerLimits.DEFAULT : current.limits();
    }

    private void acknowledge(boolean changed, Runnable acknowledge) {
        if (!changed) {
            acknowledge.run();
            return;
        }
        Runnable once = new OnlyOnce(acknowledge);
        publish(once);
        control.after(STORED_LIMIT_MILLIS, once);
    }

    private void publish(Runnable onStored) {
        KnownNode self = new KnownNode(ownAddress, incarnation, settings.dataCentre(), stopping, home.announcement());
        directory.publish(self, onStored);
    }

    private void directoryChanged() {
        homeRegistry.handleRestarts(network::probeIfLost);
        network.forgetLostNodesExcept(directory.nodes().map(KnownNode::address).collect(Collectors.toSet()));
        if (!ready) {
            recoverUpstream();
            publish(() -> {});
            becomeReady();
        }
    }

    // After a restart of this process alone its upstream still runs: the own row says which one that is.
    private void recoverUpstream() {
        if (home.announcement().isEmpty()) {
            directory
                    .node(settings.nodeId())
                    .filter(row -> row.address().host().equals(ownAddress.host()))
                    .flatMap(KnownNode::upstream)
                    .ifPresent(home::announce);
        }
    }

    private void becomeReady() {
        if (!ready && configuration != null && directory.isLoaded()) {
            ready = true;
            log.event("ready")
                    .with("version", configuration.version())
                    .with("nodes", directory.nodes().count())
                    .write();
        }
    }

    private final class HomeListener implements HomeService.Listener {
        @Override
        public void loadChanged() {
            loadTeller.loadChanged();
        }

        @Override
        public void healthChanged() {
            loadTeller.tellAll();
        }

        @Override
        public void crashed(long fingerprint, String upstreamId) {
            CrashReport report = CrashReport.newBuilder()
                    .setFingerprint(fingerprint)
                    .setUpstreamId(upstreamId)
                    .build();
            peers.tell(directory.nodes(), Frame.newBuilder().setCrash(report).build());
        }
    }

    private final class PeerHandlers implements PeerNetwork.FrameHandler {
        @Override
        public Runnable attempt(String nodeId, Attempt attempt, Consumer<Answer> onAnswer) {
            loadTeller.heard(nodeId);
            return home.attempt(attempt, onAnswer);
        }

        @Override
        public void inquire(Inquiry inquiry, Consumer<Answer> onAnswer) {
            String homeId = inquiry.getHomeNodeId();
            if (homeId.isEmpty() || homeId.equals(settings.nodeId())) {
                home.inquire(inquiry, onAnswer);
                return;
            }
            peers.passOn(homeId, inquiry, onAnswer);
        }

        @Override
        public void receiveOneWay(String nodeId, Frame frame) {
            if (frame.hasLoad()) {
                homeRegistry.recordLoad(nodeId, frame.getLoad());
            } else if (frame.hasCrash()) {
                CrashReport report = frame.getCrash();
                crashes.recordCrash(
                        control.nowMillis(), String.valueOf(report.getFingerprint()), report.getUpstreamId());
            }
        }
    }

    /** Runs an action at most once. Not thread-safe. */
    private static final class OnlyOnce implements Runnable {
        private Runnable action;

        private OnlyOnce(Runnable action) {
            this.action = action;
        }

        @Override
        public void run() {
            Runnable pending = action;
            action = null;
            if (pending != null) {
                pending.run();
            }
        }
    }
}
