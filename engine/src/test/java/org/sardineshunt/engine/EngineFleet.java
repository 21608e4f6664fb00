package org.sardineshunt.engine;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;
import org.sardineshunt.coordination.route.Route;
import org.sardineshunt.engine.caller.FakeConfigurationSource;
import org.sardineshunt.engine.http.HttpClient;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpOutcome;
import org.sardineshunt.engine.http.HttpRequestData;
import org.sardineshunt.engine.platform.MonitoredTableStore;
import org.sardineshunt.engine.protocol.EngineMessages.NodeRecord;

/** Several engines in one process, each with a fake local upstream of the same service. Not thread-safe. */
final class EngineFleet implements AutoCloseable {
    /** Path prefix of an idempotent route. */
    static final String LOOKUP_PATH = "/lookup/";

    /** Path prefix of a route that is not idempotent. */
    static final String BOOKING_PATH = "/booking/";

    // So long that each failure in a test counts as a fast one, however slowly the test runs.
    private static final long TARGET_MILLIS = 600_000;
    private static final long UPSTREAM_STARTED_EPOCH_MILLIS = 1_000;
    private static final RequestHeaders HEADERS = new RequestHeaders(
            "X-Request",
            "X-Left",
            "X-Expected",
            "X-Caller",
            "X-Not-Run",
            "X-Signature",
            "Authorization",
            "X-Account",
            "/");

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient((EventLoop) eventLoops.next(), "X-Request");
    private final List<FakeUpstream> upstreams = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Integer> callerPorts = new ArrayList<>();
    private final List<String> logLines = new CopyOnWriteArrayList<>();
    private final FakeTable table = new FakeTable();
    private final FakeConfigurationSource configurations = new FakeConfigurationSource();
    private final double hedgeShare;
    private int sentRequests;

    EngineFleet(int size) {
        this(size, 0);
    }

    /** Starts engines that may hedge the given share of the requests. */
    EngineFleet(int size, double hedgeShare) {
        this.hedgeShare = hedgeShare;
        IntStream.range(0, size).forEach(index -> {
            FakeUpstream upstream = new FakeUpstream(eventLoops, "upstream-" + index);
            upstreams.add(upstream);
            Engine engine = startEngine(index);
            engines.add(engine);
            engine.configure(configuration(1, 4_000));
            engine.announce(announcement(index, 1, Phase.READY), () -> {});
        });
        Await.until(
                "all engines are ready and have logged it",
                () -> engines.stream().allMatch(Engine::isReady)
                        && logLines.stream()
                                        .filter(line -> line.contains("\"ready\""))
                                        .count()
                                == size);
        // Nodes learn of each other before their rows are stored, but restarted nodes rely on the rows.
        Await.until(
                "all rows have their upstreams", () -> IntStream.range(0, size).allMatch(this::isUpstreamStored));
        IntStream.range(0, size)
                .forEach(index -> Await.until(
                        "engine " + index + " receives responses and all upstreams receive requests",
                        () -> IntStream.range(0, 3 * size)
                                        .allMatch(request -> sendAndGetStatus(index, "GET", LOOKUP_PATH) == 200)
                                && upstreams.stream().allMatch(upstream -> !upstream.receivedRequests()
                                        .isEmpty())));
        upstreams.forEach(upstream -> upstream.receivedRequests().clear());
    }

    private boolean isUpstreamStored(int index) {
        byte[] row = table.value("sardineshunt-nodes", "node-" + index);
        try {
            return row != null && NodeRecord.parseFrom(row).hasUpstream();
        } catch (InvalidProtocolBufferException malformed) {
            throw new AssertionError("row of node " + index + " is malformed", malformed);
        }
    }

    Engine startEngine(int index) {
        return startEngine(index, 0);
    }

    private Engine startEngine(int index, int peerPort) {
        Engine engine = createEngine(index, peerPort);
        MonitoredTableStore store = new MonitoredTableStore(
                engine.control(), engine.control(), new EventLog("node-" + index, logLines::add), table);
        int port = engine.start(store, configurations);
        engine.watchConfiguration(store, "configuration", () -> 0, rows -> {});
        if (index < callerPorts.size()) {
            callerPorts.set(index, port);
        } else {
            callerPorts.add(port);
        }
        return engine;
    }

    /** Creates an engine that is not started. */
    Engine createEngine(int index) {
        return createEngine(index, 0);
    }

    private Engine createEngine(int index, int peerPort) {
        EngineSettings settings = new EngineSettings(
                "node-" + index,
                "dc-1",
                "service",
                upstreams.get(index).address(),
                new InetSocketAddress("127.0.0.1", 0),
                new InetSocketAddress("127.0.0.1", peerPort),
                HEADERS,
                new EngineSettings.Limits(0.5, 1, 2_000, 3_000, hedgeShare),
                EngineSettings.Resources.DEFAULT,
                new EngineSettings.AccountBounds(5_000, 0.1, 20));
        return new Engine(settings, new EventLog("node-" + index, logLines::add), new MetricRegistry());
    }

    static Announcement announcement(int index, long sequence, Phase phase) {
        return new Announcement("upstream-" + index, UPSTREAM_STARTED_EPOCH_MILLIS, sequence, "service", 4, phase, 0);
    }

    static FleetConfiguration configuration(long version, long timeoutMillis) {
        List<Route.Share> shares = List.of(new Route.Share("service", 1));
        return new FleetConfiguration(
                version,
                List.of(
                        new Route("lookup", "h", LOOKUP_PATH, true, 2, timeoutMillis, TARGET_MILLIS, 1, shares, false),
                        new Route(
                                "booking",
                                "h",
                                BOOKING_PATH,
                                false,
                                2,
                                timeoutMillis,
                                TARGET_MILLIS,
                                0,
                                shares,
                                false)),
                List.of(new FleetConfiguration.Service("service", "", 100)),
                CallerLimits.DEFAULT);
    }

    int size() {
        return engines.size();
    }

    int callerPort(int index) {
        return callerPorts.get(index);
    }

    Engine engine(int index) {
        return engines.get(index);
    }

    /** Kills an engine and starts another one in its place, as after a restart of the process. */
    Engine restart(int index) {
        engines.get(index).kill();
        Engine engine = startEngine(index);
        engines.set(index, engine);
        return engine;
    }

    /** Like {@link #restart}, with the same port for other nodes, which find the new process without the table. */
    Engine restartAtSameAddress(int index) {
        int port = peerPort(index);
        engines.get(index).kill();
        Await.until("port " + port + " is free", () -> canListen(port));
        Engine engine = startEngine(index, port);
        engines.set(index, engine);
        return engine;
    }

    private int peerPort(int index) {
        try {
            return NodeRecord.parseFrom(table.value("sardineshunt-nodes", "node-" + index))
                    .getPort();
        } catch (InvalidProtocolBufferException malformed) {
            throw new AssertionError("row of node " + index + " is malformed", malformed);
        }
    }

    private static boolean canListen(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress("127.0.0.1", port));
            return true;
        } catch (IOException inUse) {
            return false;
        }
    }

    FakeUpstream upstream(int index) {
        return upstreams.get(index);
    }

    /** Returns the store that engines read to confirm their configuration; it has none at first. */
    FakeConfigurationSource configurations() {
        return configurations;
    }

    FakeTable table() {
        return table;
    }

    List<String> logLines() {
        return logLines;
    }

    int receivedRequestCount() {
        return upstreams.stream()
                .mapToInt(upstream -> upstream.receivedRequests().size())
                .sum();
    }

    /** Sends a request and returns the status of the response; 0 if there is none. */
    int sendAndGetStatus(int engineIndex, String method, String path) {
        HttpOutcome outcome = send(engineIndex, method, path, 4_000).outcome().join();
        return outcome instanceof HttpOutcome.Responded responded
                ? responded.response().status()
                : 0;
    }

    SentRequest send(int engineIndex, String method, String path, long timeLeftMillis) {
        return send(engineIndex, method, path, timeLeftMillis, "request-" + ++sentRequests);
    }

    SentRequest send(int engineIndex, String method, String path, long timeLeftMillis, String requestId) {
        return send(engineIndex, method, path, timeLeftMillis, requestId, List.of());
    }

    SentRequest send(
            int engineIndex,
            String method,
            String path,
            long timeLeftMillis,
            String requestId,
            List<HttpHeader> moreHeaders) {
        CompletableFuture<HttpOutcome> outcome = new CompletableFuture<>();
        HttpClient.Call call = client.send(
                new InetSocketAddress("127.0.0.1", callerPorts.get(engineIndex)),
                new HttpRequestData(
                        method,
                        path + "x?q=1",
                        Stream.concat(
                                        Stream.of(
                                                new HttpHeader("Host", "h"),
                                                new HttpHeader("X-Request", requestId),
                                                new HttpHeader("X-Left", String.valueOf(timeLeftMillis)),
                                                new HttpHeader("X-Caller", "forged"),
                                                new HttpHeader("X-Account", "forged"),
                                                new HttpHeader("X-Expected", "forged")),
                                        moreHeaders.stream())
                                .toList(),
                        requestId.getBytes(StandardCharsets.UTF_8)),
                new HttpClient.Options(10_000, 1_000),
                outcome::complete);
        return new SentRequest(requestId, call, outcome);
    }

    @Override
    public void close() {
        engines.forEach(Engine::kill);
        client.close();
        eventLoops.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }

    /** A sent request and its outcome. */
    record SentRequest(String id, HttpClient.Call call, CompletableFuture<HttpOutcome> outcome) {}
}
