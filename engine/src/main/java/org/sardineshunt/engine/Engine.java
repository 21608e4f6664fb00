package org.sardineshunt.engine;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.sardineshunt.coordination.RendezvousHashing;
import org.sardineshunt.coordination.account.AccountAdmission;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.DepartureRegistry;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.limit.StopAdmission;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.coordination.placement.PlacementPolicy;
import org.sardineshunt.coordination.rotation.Rotation;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;
import org.sardineshunt.engine.backendserver.HomeService;
import org.sardineshunt.engine.caller.AccountTokens;
import org.sardineshunt.engine.caller.CallerRules;
import org.sardineshunt.engine.caller.EntryService;
import org.sardineshunt.engine.caller.HomeRegistry;
import org.sardineshunt.engine.http.HttpClient;
import org.sardineshunt.engine.http.HttpServer;
import org.sardineshunt.engine.http.ServerResources;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.peer.NodeDirectory;
import org.sardineshunt.engine.peer.PeerAddress;
import org.sardineshunt.engine.peer.PeerNetwork;
import org.sardineshunt.engine.platform.ConfigurationSource;
import org.sardineshunt.engine.platform.ConfigurationTracker;
import org.sardineshunt.engine.platform.MonitoredTableStore;
import org.sardineshunt.engine.platform.TableStore.Row;
import org.sardineshunt.engine.protocol.EngineMessages.CrashReport;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;

/**
 * Runs the entry for callers and the home of one upstream. How announcements and configurations reach this process is
 * left to the code that embeds the engine.
 *
 * <pre>{@code
 * Engine engine = new Engine(settings, log, metrics);
 * engine.start(new MonitoredTableStore(engine.control(), engine.control(), log, store));
 * engine.configure(configuration);
 * engine.announce(announcement, () -> acknowledge());
 * engine.stop().join();
 * }</pre>
 *
 * <p>Thread-safe: all state is confined to the control thread.
 */
public final class Engine {
    // Share of the idempotent requests that test an upstream on trial if there is one.
    private static final double TRIAL_SHARE = 0.35;

    // A request is refused once it was in flight at the crashes of this many upstreams.
    private static final int CRASH_LIMIT = 2;
    private static final long CRASH_RETENTION_MILLIS = 120_000;

    private static final long STOP_POLL_INTERVAL_MILLIS = 100;
    private static final long STOP_IDLE_CONNECTION_MILLIS = 300;

    // A request that still waits this long before the stop timeout gets a response, since closing its connection
    // would leave the caller without one.
    private static final long STOP_FINAL_RESPONSES_MILLIS = 350;

    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 50;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 500;

    // Callers may take this long to notice that the node isn't ready, and send new requests until then.
    private static final long STOP_MAXIMUM_DETECTION_MILLIS = 2_300;

    private final EngineSettings settings;
    private final EventLog log;
    private final MetricRegistry metrics;
    private final long incarnation = System.currentTimeMillis();
    private final Random random;
    private final EventLoopGroup controlGroup;
    private final EventLoopGroup trafficGroup;
    private final ControlEventLoop control;
    private final MemoryBudget memory;
    private final HttpClient upstreamClient;
    private final PeerNetwork network;
    private final HttpServer callerServer;
    private final DepartureRegistry departures = new DepartureRegistry();
    private final CrashingRequestDetector crashDetector =
            new CrashingRequestDetector(CRASH_LIMIT, CRASH_RETENTION_MILLIS);
    private final ConfigurationTracker configuration;
    private final ControlThreadConfigurationSource configurationSource;
    private volatile boolean started;
    private volatile boolean ready;
    private volatile boolean stopping;
    private NodeDirectory directory;
    private HomeRegistry homeRegistry;
    private HomeService home;
    private EntryService entry;
    private FleetHomeClient homeClient;
    private AccountTokens accountTokens;
    private LoadReporter loadReporter;
    private AnnouncementAcknowledger acknowledger;
    private UpstreamRestorer restorer;
    private PeerAddress ownAddress;
    private ConfigurationWatch configurationWatch;

    /**
     * Creates an engine that doesn't listen yet.
     *
     * @param metrics receives the engine's counters and latency histograms
     */
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
        MemoryEvents memoryEvents = new MemoryEvents(log, metrics);
        memory = new MemoryBudget(ResourceShares.bufferBytes(settings.resources()), memoryEvents);
        upstreamClient = new HttpClient(
                (EventLoop) trafficGroup.next(),
                settings.headers().requestId(),
                HttpClient.DEFAULT_MAXIMUM_RESPONSE_BYTES,
                memory);
        network = new PeerNetwork(control, log, trafficGroup, settings.nodeId(), incarnation, memory);
        configurationSource = new ControlThreadConfigurationSource(control);
        configuration = new ConfigurationTracker(
                control,
                control::clock,
                log,
                configurationSource,
                (nodeId, version, onReceived) -> homeClient.fetchConfiguration(nodeId, version, onReceived),
                this::handleAdopted);
        callerServer = new HttpServer(
                this::callerLimits,
                new CallerRules(settings.headers(), this::configuration),
                new ServerResources(
                        memory,
                        ResourceShares.maximumConnections(settings.resources()),
                        memoryEvents::connectionClosed),
                exchange -> entry.handle(exchange));
        Stream.of(MemoryBudget.Kind.values())
                .forEach(kind -> metrics.gauge("buffered_bytes", kind.label(), () -> memory.reservedBytes(kind)));
        metrics.gauge("open_connections", "callers", callerServer::openConnections);
    }

    /** Returns the event loop whose thread owns the engine's state. */
    public ControlEventLoop control() {
        return control;
    }

    /** Returns the event loops of the engine's connections. */
    public EventLoopGroup trafficGroup() {
        return trafficGroup;
    }

    /**
     * Opens the ports for callers and for other nodes and starts to follow the table of nodes.
     *
     * @param store table store of the platform
     * @return the port for callers
     */
    public int start(MonitoredTableStore store) {
        return start(store, ConfigurationSource.NONE);
    }

    /**
     * Opens the ports for callers and for other nodes and starts to follow the table of nodes.
     *
     * @param store table store of the platform
     * @param source where the configuration is read again before a request is refused for its key
     * @return the port for callers
     */
    public int start(MonitoredTableStore store, ConfigurationSource source) {
        configurationSource.setSource(source);
        directory = new NodeDirectory(control, log, store, settings.nodeId(), random, this::onDirectoryChanged);
        homeRegistry = new HomeRegistry(control, directory, settings.dataCentre(), network::isReachable);
        EngineContext context = new EngineContext(control, log, metrics, settings, incarnation, crashDetector, random);
        home = new HomeService(
                context, upstreamClient, homeRegistry::baseline, configuration::current, new HomeListener());
        PlacementPolicy placement = new PlacementPolicy(
                Rotation.builder().floorShare(settings.limits().floorShare()).build(), TRIAL_SHARE);
        homeClient = new FleetHomeClient(control, settings.nodeId(), directory, network, home);
        acknowledger = new AnnouncementAcknowledger(control, log, settings.nodeId(), directory, homeClient);
        restorer = new UpstreamRestorer(context, directory, homeClient, new RestoredUpstream());
        loadReporter = new LoadReporter(control, settings.nodeId(), directory, homeRegistry, homeClient, home);
        accountTokens = new AccountTokens(
                control,
                settings.nodeId(),
                homeClient,
                log,
                configuration,
                settings.accountBounds().toLimitBounds(),
                random);
        AccountAdmission accountAdmission = new AccountAdmission(control, control::clock, accountTokens);
        entry = new EntryService(context, homeClient, homeRegistry, placement, configuration, accountAdmission);
        int peerPort = network.listen(
                settings.peerAddress(),
                new PeerFrameHandler(
                        context,
                        configuration,
                        accountTokens,
                        directory,
                        homeRegistry,
                        home,
                        homeClient,
                        loadReporter,
                        departures));
        ownAddress = new PeerAddress(settings.nodeId(), settings.peerAddress().getHostString(), peerPort);
        int callerPort = callerServer.listen(trafficGroup, settings.callerAddress());
        StoreRecovery recovery = new StoreRecovery(control, random, directory, home, acknowledger);
        control.execute(() -> recovery.start(store));
        control.execute(directory::start);
        control.execute(accountTokens::start);
        started = true;
        log.event("started")
                .with("incarnation", incarnation)
                .with("dataCentre", settings.dataCentre())
                .with("service", settings.callerService())
                .write();
        return callerPort;
    }

    /**
     * Follows the table that holds the configuration. Must be called after {@link #start}.
     *
     * @param changePauseMillis supplies the pause after each change
     * @param onChanged receives new, changed and removed rows on the control thread
     */
    public void watchConfiguration(
            MonitoredTableStore store, String table, LongSupplier changePauseMillis, Consumer<List<Row>> onChanged) {
        control.execute(() -> {
            configurationWatch = new ConfigurationWatch(control, log, directory, network::isReachable, random);
            configurationWatch.start(store, table, changePauseMillis, onChanged);
        });
    }

    /** Puts a configuration in force unless the same version or a newer one is. */
    public void configure(FleetConfiguration received) {
        configure(received, new byte[0]);
    }

    /**
     * Puts a configuration in force unless the same version or a newer one is.
     *
     * @param encoded the configuration as the operators wrote it, for nodes that can't read it themselves
     */
    public void configure(FleetConfiguration received, byte[] encoded) {
        control.execute(() -> configuration.adopt(received, encoded));
    }

    /** Returns the configuration in force; empty before the first one was received. */
    public Optional<FleetConfiguration> configuration() {
        return configuration.current();
    }

    /** Returns whether the engine serves callers: a configuration and the nodes are known and it isn't stopping. */
    public boolean isReady() {
        return ready && !stopping;
    }

    /**
     * Processes an announcement of the local upstream.
     *
     * @param acknowledge called on the control thread: for a departure once it outlives this process, that is, when the
     *     table or, while that doesn't answer, other nodes have it; for an upstream that is ready when the table has
     *     stored a change or after a timeout
     */
    public void announce(Announcement announcement, Runnable acknowledge) {
        control.execute(() -> {
            if (restorer.mustHold(announcement)) {
                restorer.hold(announcement, acknowledge);
            } else {
                acknowledge(home.recordAnnouncement(announcement), acknowledge);
            }
        });
    }

    /**
     * Processes the notice that the local upstream is leaving.
     *
     * @param startedEpochMillis start time of that upstream, in milliseconds since the epoch; 0 if unknown
     * @param acknowledge called like that of an announcement
     */
    public void leave(String upstreamId, long startedEpochMillis, Runnable acknowledge) {
        control.execute(() -> acknowledge(home.recordLeave(upstreamId, startedEpochMillis), acknowledge));
    }

    /**
     * Stops the engine: its home refuses new attempts, requests in flight are finished within the stop timeout, and
     * then all connections are closed. An engine that has not started yet has nothing to finish. The event loops end
     * with {@link #kill} or with the process.
     *
     * @return completed on the control thread when the connections are closed
     */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        control.execute(() -> {
            stopping = true;
            if (!started) {
                log.event("stopped").with("cause", "not started yet").write();
                stopped.complete(null);
                return;
            }
            long stopStartedMillis = control.nowMillis();
            log.event("stopping")
                    .with("requests", entry.inFlight())
                    .with("attempts", home.pendingAttempts())
                    .write();
            home.stopAccepting();
            callerServer.closeAfterResponses();
            entry.limitForStop(StopAdmission.stopping(
                    stopStartedMillis + STOP_MAXIMUM_DETECTION_MILLIS,
                    stopStartedMillis + settings.limits().stopTimeoutMillis() - STOP_FINAL_RESPONSES_MILLIS));
            publishOwnNode();
            control.after(STOP_POLL_INTERVAL_MILLIS, () -> awaitIdle(stopStartedMillis, stopped));
        });
        return stopped;
    }

    /** Closes all connections without finishing requests, as a crash would; the event loops end soon after. */
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
        boolean departurePending =
                home.announcement().filter(acknowledger::isUnstoredDeparture).isPresent();
        boolean requestsPending =
                entry.inFlight() > 0 || home.pendingAttempts() > 0 || callerServer.busyConnections() > 0;
        if (elapsedMillis < settings.limits().stopTimeoutMillis()
                && (detectionPending || departurePending || requestsPending || callerServer.openConnections() > 0)) {
            if (!detectionPending) {
                callerServer.closeIdleConnections(STOP_IDLE_CONNECTION_MILLIS);
            }
            control.after(STOP_POLL_INTERVAL_MILLIS, () -> awaitIdle(stopStartedMillis, stopped));
            return;
        }
        log.event("stopped")
                .with("millis", elapsedMillis)
                .with("cutOff", entry.inFlight() + home.pendingAttempts())
                .write();
        callerServer.close();
        network.close();
        upstreamClient.close();
        stopped.complete(null);
    }

    private CallerLimits callerLimits() {
        return configuration.current().map(FleetConfiguration::limits).orElse(CallerLimits.DEFAULT);
    }

    private void acknowledge(boolean changed, Runnable acknowledgement) {
        if (changed) {
            publishOwnNode();
        }
        home.announcement().ifPresent(current -> acknowledger.acknowledge(current, changed, acknowledgement));
    }

    private void publishOwnNode() {
        KnownNode ownNode = new KnownNode(
                ownAddress,
                incarnation,
                settings.dataCentre(),
                stopping,
                home.announcement(),
                PeerNetwork.PROTOCOL_LEVEL);
        if (restorer.isCompleted()) {
            directory.publish(ownNode, () -> ownNode.upstream().ifPresent(acknowledger::recordStored));
        } else {
            // The row still has what the process before stored.
            directory.setOwnNode(ownNode);
        }
        homeClient.sendOwnRecord(directory.nodes());
    }

    private void onDirectoryChanged() {
        // A node that is new here may not have received this node's record.
        homeRegistry.handleRestarts(address -> {
            network.probeIfLost(address);
            homeClient.sendOwnRecord(directory.node(address.nodeId()).stream());
        });
        accountTokens.handleDirectoryChange();
        network.forgetLostNodesExcept(directory.nodes().map(KnownNode::address).collect(Collectors.toSet()));
        directory.storedUpstreams().forEach(departures::record);
        directory.nodes().forEach(node -> node.upstream()
                .ifPresent(upstream -> departures.record(node.address().nodeId(), upstream)));
        if (!directory.isLoaded()) {
            // Records of other nodes may arrive before the table is read.
            if (directory.ownRecord().isEmpty()) {
                publishOwnNode();
            }
        } else if (!restorer.isStarted()) {
            restoreUpstream();
        }
        becomeReadyIfLoaded();
    }

    // After a restart of this process alone its upstream is still running, and this node's row describes it. A row
    // with another host was written on another instance.
    private void restoreUpstream() {
        Optional<KnownNode> ownRow =
                directory.storedOwnNode().filter(row -> row.address().host().equals(ownAddress.host()));
        ownRow.flatMap(KnownNode::upstream).ifPresent(acknowledger::recordStored);
        restorer.start(ownRow);
    }

    private void handleAdopted(FleetConfiguration adopted) {
        if (configurationWatch != null) {
            configurationWatch.expectChange();
        }
        becomeReadyIfLoaded();
        if (started && adopted.accounts().isPresent()) {
            loadReporter.reportConfiguration(random);
        }
    }

    private void becomeReadyIfLoaded() {
        if (!ready && configuration.current().isPresent() && directory.isLoaded()) {
            ready = true;
            log.event("ready")
                    .with("version", configuration.version())
                    .with("nodes", directory.nodes().count())
                    .write();
        }
    }

    private final class RestoredUpstream implements UpstreamRestorer.Listener {
        @Override
        public void restored(Announcement announcement) {
            home.restoreAnnouncement(announcement);
        }

        @Override
        public void completed(List<Announcement> held) {
            held.forEach(home::recordAnnouncement);
            publishOwnNode();
        }
    }

    private final class HomeListener implements HomeService.Listener {
        @Override
        public void loadChanged() {
            loadReporter.scheduleReport();
        }

        @Override
        public void availabilityChanged() {
            loadReporter.reportToAll();
        }

        @Override
        public void crashSuspected(long fingerprint, String upstreamId) {
            CrashReport report = CrashReport.newBuilder()
                    .setFingerprint(fingerprint)
                    .setUpstreamId(upstreamId)
                    .build();
            homeClient.sendOneWay(
                    directory.nodes(), Frame.newBuilder().setCrash(report).build());
        }
    }
}
