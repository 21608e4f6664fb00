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
    private static final int CRASH_LIMIT = 2;
    private static final long CRASH_RETENTION_MILLIS = 120_000;
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 600;
    private static final long STOP_POLL_INTERVAL_MILLIS = 100;
    private static final long STOP_IDLE_CONNECTION_MILLIS = 300;
    private static final long STOP_FINAL_RESPONSES_MILLIS = 350;
    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 50;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 500;
    private static final long STOP_MAXIMUM_DETECTION_MILLIS = 2_300;

    private final EngineSettings settings;
    private final EventLog log;
    private final MetricRegistry metrics;
    private final long incarnation = System.currentTimeMillis();
    private final Random random;
    private final EventLoopGroup controlGroup;
    private final EventLoopGroup trafficGroup;
    private final ControlEventLoop control;
    private final HttpClient upstreamClient;
    private final PeerNetwork network;
    private final HttpServer callerServer;
    private final CrashingRequestDetector crashDetector =
            new CrashingRequestDetector(CRASH_LIMIT, CRASH_RETENTION_MILLIS);
    private volatile FleetConfiguration configuration;
    private volatile boolean ready;
    private volatile boolean stopping;
    private NodeDirectory directory;
    private HomeRegistry homeRegistry;
    private HomeService home;
    private EntryService entry;
    private FleetHomeClient homeClient;
    private LoadReporter loadReporter;
    private PeerAddress ownAddress;

    /** Creates an engine that doesn't listen yet. */
    public Engine(EngineSettings settings, EventLog log, MetricRegistry metrics) {
        this.settings = settings;
        this.log = log;
        this.metrics = metrics;
        random = new Random(RendezvousHashing.hash(settings.nodeId()) ^ incarnation);
        controlGroup =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("control"), NioIoHandler.newFactory());
        trafficGroup =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("traffic"), NioIoHandler.newFactory());
        control = new ControlEventLoop((EventLoop) controlGroup.next(), log);
        upstreamClient = new HttpClient(
                (EventLoop) trafficGroup.next(), settings.headers().requestId());
        network = new PeerNetwork(control, log, trafficGroup, settings.nodeId(), incarnation);
        callerServer = new HttpServer(this::callerLimits, exchange -> entry.handle(exchange));
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
        directory = new NodeDirectory(control, log, store, settings.nodeId(), random, this::onDirectoryChanged);
        homeRegistry = new HomeRegistry(control, directory, settings.dataCentre(), network::isReachable);
        EngineContext context = new EngineContext(control, log, metrics, settings, incarnation, crashDetector, random);
        home = new HomeService(context, upstreamClient, homeRegistry::baseline, new HomeListener());
        PlacementPolicy placement = new PlacementPolicy(
                Rotation.builder().floorShare(settings.limits().floorShare()).build(), TRIAL_SHARE);
        homeClient = new FleetHomeClient(control, settings.nodeId(), directory, network, home);
        loadReporter = new LoadReporter(control, settings.nodeId(), directory, homeRegistry, homeClient, home);
        entry = new EntryService(
                context, homeClient, homeRegistry, placement, () -> Optional.ofNullable(configuration));
        int peerPort = network.listen(settings.peerAddress(), new PeerFrameHandler());
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
    public void configure(FleetConfiguration received) {
        control.execute(() -> {
            if (configuration != null && received.version() <= configuration.version()) {
                return;
            }
            configuration = received;
            log.event("configuration-adopted")
                    .with("version", received.version())
                    .with("routes", received.routeCount())
                    .write();
            becomeReadyIfLoaded();
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
        control.execute(() -> acknowledgeWhenStored(home.announce(announcement), acknowledge));
    }

    /** Takes the news that the upstream beside this node leaves; acknowledged like an announcement. */
    public void leave(String upstreamId, long startedEpochMillis, Runnable acknowledge) {
        control.execute(() -> acknowledgeWhenStored(home.leave(upstreamId, startedEpochMillis), acknowledge));
    }

    /** Takes no new work, finishes what is in flight, and ends all threads. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        control.execute(() -> {
            stopping = true;
            long stopStartedMillis = control.nowMillis();
            log.event("stopping")
                    .with("requests", entry.inFlight())
                    .with("attempts", home.pending())
                    .write();
            home.stopTaking();
            callerServer.closeAfterResponses();
            publishOwnNode(() -> {});
            control.after(STOP_POLL_INTERVAL_MILLIS, () -> awaitIdle(stopStartedMillis, stopped));
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
        controlGroup.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        trafficGroup.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void awaitIdle(long stopStartedMillis, CompletableFuture<Void> stopped) {
        long elapsedMillis = control.nowMillis() - stopStartedMillis;
        if (elapsedMillis >= settings.limits().stopTimeoutMillis() - STOP_FINAL_RESPONSES_MILLIS) {
            entry.timeOutAll();
        }
        boolean detectionPending = elapsedMillis < STOP_MAXIMUM_DETECTION_MILLIS;
        boolean requestsPending = entry.inFlight() > 0 || home.pending() > 0 || callerServer.busyConnections() > 0;
        if (elapsedMillis < settings.limits().stopTimeoutMillis()
                && (detectionPending || requestsPending || callerServer.openConnections() > 0)) {
            if (!detectionPending) {
                callerServer.closeIdleConnections(STOP_IDLE_CONNECTION_MILLIS);
            }
            control.after(STOP_POLL_INTERVAL_MILLIS, () -> awaitIdle(stopStartedMillis, stopped));
            return;
        }
        log.event("stopped")
                .with("millis", elapsedMillis)
                .with("cutOff", entry.inFlight() + home.pending())
                .write();
        callerServer.close();
        network.close();
        upstreamClient.close();
        stopped.complete(null);
    }

    private CallerLimits callerLimits() {
        FleetConfiguration current = configuration;
        return current == null ? CallerLimits.DEFAULT : current.limits();
    }

    private void acknowledgeWhenStored(boolean changed, Runnable acknowledge) {
        if (!changed) {
            acknowledge.run();
            return;
        }
        Runnable acknowledgeOnce = new RunOnce(acknowledge);
        publishOwnNode(acknowledgeOnce);
        control.after(ACKNOWLEDGEMENT_TIMEOUT_MILLIS, acknowledgeOnce);
    }

    private void publishOwnNode(Runnable onStored) {
        KnownNode ownNode =
                new KnownNode(ownAddress, incarnation, settings.dataCentre(), stopping, home.announcement());
        directory.publish(ownNode, onStored);
    }

    private void onDirectoryChanged() {
        homeRegistry.handleRestarts(network::probeIfLost);
        network.forgetLostNodesExcept(directory.nodes().map(KnownNode::address).collect(Collectors.toSet()));
        if (!ready) {
            restoreUpstream();
            publishOwnNode(() -> {});
            becomeReadyIfLoaded();
        }
    }

    // After a restart of this process alone its upstream still runs: the own row says which one that is.
    private void restoreUpstream() {
        if (home.announcement().isEmpty()) {
            directory
                    .node(settings.nodeId())
                    .filter(row -> row.address().host().equals(ownAddress.host()))
                    .flatMap(KnownNode::upstream)
                    .ifPresent(home::announce);
        }
    }

    private void becomeReadyIfLoaded() {
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
            loadReporter.scheduleReport();
        }

        @Override
        public void healthChanged() {
            loadReporter.reportToAll();
        }

        @Override
        public void crashed(long fingerprint, String upstreamId) {
            CrashReport report = CrashReport.newBuilder()
                    .setFingerprint(fingerprint)
                    .setUpstreamId(upstreamId)
                    .build();
            homeClient.sendOneWay(
                    directory.nodes(), Frame.newBuilder().setCrash(report).build());
        }
    }

    private final class PeerFrameHandler implements PeerNetwork.FrameHandler {
        @Override
        public Runnable attempt(String nodeId, Attempt attempt, Consumer<Answer> onAnswer) {
            loadReporter.recordSender(nodeId);
            return home.attempt(attempt, onAnswer);
        }

        @Override
        public void inquire(Inquiry inquiry, Consumer<Answer> onAnswer) {
            String homeId = inquiry.getHomeNodeId();
            if (homeId.isEmpty() || homeId.equals(settings.nodeId())) {
                home.inquire(inquiry, onAnswer);
                return;
            }
            homeClient.relayInquiry(homeId, inquiry, onAnswer);
        }

        @Override
        public void receiveOneWay(String nodeId, Frame frame) {
            if (frame.hasLoad()) {
                homeRegistry.recordLoad(nodeId, frame.getLoad());
            } else if (frame.hasCrash()) {
                CrashReport report = frame.getCrash();
                crashDetector.recordCrash(
                        control.nowMillis(), String.valueOf(report.getFingerprint()), report.getUpstreamId());
            }
        }
    }

    /** Runs an action at most once. Not thread-safe. */
    private static final class RunOnce implements Runnable {
        private Runnable action;

        private RunOnce(Runnable action) {
            this.action = action;
        }

        @Override
        public void run() {
            Runnable pendingAction = action;
            action = null;
            if (pendingAction != null) {
                pendingAction.run();
            }
        }
    }
}
