package org.sardineshunt.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.jboss.logging.Logger;
import org.sardineshunt.kit.HttpEndpoint;
import org.sardineshunt.kit.HttpRequest;
import org.sardineshunt.kit.HttpResponse;
import org.sardineshunt.kit.Json;

/**
 * A backend server with slots, cold start, drain, load shedding, deadlines and fault injection.
 *
 * <p>It treats requests for all paths but those of its control endpoints as work. The answer repeats the request's
 * {@code Sardineshunt-Request-Id}, and its body contains the {@code X-Work-Id} that the caller sent, so that a load
 * tool can check whose answer it is. {@code GET /control/runs} returns how often each work id was run. The health and
 * load endpoints lag by two seconds. Thread-safe.
 */
public final class BackendServerStandIn implements AutoCloseable {
    /** Response header by which a refusal states that the request was not run. */
    public static final String VERDICT_HEADER = "Sardineshunt-Verdict";

    private static final Logger LOG = Logger.getLogger(BackendServerStandIn.class);
    private static final int COLD_START_FACTOR = 3;
    private static final long REPORT_LAG_MILLIS = 2_000;

    private final ServerOptions options;
    private final Runnable onCrash;
    private final Random random;
    private final ScheduledExecutorService serviceTimer;
    private final ScheduledExecutorService backgroundTimer;
    private final OkHttpClient client = new OkHttpClient.Builder()
            .callTimeout(java.time.Duration.ofSeconds(2))
            .build();
    private final AtomicReference<ServerFaults> faults = new AtomicReference<>(ServerFaults.NONE);
    private final AtomicInteger runningRequests = new AtomicInteger();
    private final AtomicInteger receivedRequests = new AtomicInteger();
    private final Map<String, AtomicInteger> runsByWorkId = new ConcurrentHashMap<>();
    private final long startedNanos = System.nanoTime();
    private final HttpEndpoint endpoint;
    private volatile String state = "ready";
    private volatile long leavingStartedNanos;
    private volatile long lastRequestNanos;
    private volatile int reportedRunningRequests;

    private BackendServerStandIn(ServerOptions options, Runnable onCrash) {
        this.options = options;
        this.onCrash = onCrash;
        this.random = new Random(options.seed());
        this.serviceTimer = createDaemonScheduler("service-time-" + options.id());
        this.backgroundTimer = createDaemonScheduler("announcer-" + options.id());
        HttpEndpoint.Builder builder = HttpEndpoint.builder()
                .port(options.port())
                .route("GET", "/control/health", request -> completed(healthResponse()))
                .route(
                        "GET",
                        "/control/load",
                        request -> completed(HttpResponse.json(200, new Load(reportedRunningRequests))))
                .route("GET", "/control/runs", request -> completed(HttpResponse.json(200, runsByWorkId)))
                .route("POST", "/control/faults", request -> completed(handleSetFaults(request)))
                .route("POST", "/control/drain", request -> completed(startLeaving()));
        List.of("GET", "HEAD", "POST", "PUT", "DELETE")
                .forEach(method -> builder.route(method, "/*", this::handleRequest));
        endpoint = builder.start();
        backgroundTimer.scheduleWithFixedDelay(
                () -> reportedRunningRequests = runningRequests.get(),
                REPORT_LAG_MILLIS,
                REPORT_LAG_MILLIS,
                TimeUnit.MILLISECONDS);
        backgroundTimer.scheduleWithFixedDelay(
                this::announce, 0, options.announcementPeriodMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a backend server, which announces itself to its home node.
     *
     * @param onCrash runs when a request crashes the server, for example to halt the process
     */
    public static BackendServerStandIn start(ServerOptions options, Runnable onCrash) {
        return new BackendServerStandIn(options, onCrash);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return endpoint.port();
    }

    /** Sets the faults that are simulated from now on. */
    public void setFaults(ServerFaults newFaults) {
        faults.set(newFaults);
    }

    /** Announces from now on that the server leaves; it continues to serve requests. */
    public HttpResponse startLeaving() {
        if (!state.equals("leaving")) {
            state = "leaving";
            leavingStartedNanos = System.nanoTime();
        }
        return HttpResponse.text(200, "text/plain", "leaving\n");
    }

    /** Returns how many milliseconds after {@link #startLeaving()} the last request arrived; 0 if none did. */
    public long lastRequestAfterLeavingMillis() {
        long leavingNanos = leavingStartedNanos;
        return leavingNanos == 0 || lastRequestNanos < leavingNanos ? 0 : (lastRequestNanos - leavingNanos) / 1_000_000;
    }

    /** Returns how many requests have arrived, without those for control endpoints. */
    public int receivedRequests() {
        return receivedRequests.get();
    }

    /** Returns how many requests are running. */
    public int runningRequests() {
        return runningRequests.get();
    }

    /** Returns how often each work id was run. */
    public Map<String, Integer> runsByWorkId() {
        Map<String, Integer> copy = new java.util.TreeMap<>();
        runsByWorkId.forEach((id, count) -> copy.put(id, count.get()));
        return copy;
    }

    @Override
    public void close() {
        serviceTimer.shutdownNow();
        backgroundTimer.shutdownNow();
        endpoint.close();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private static ScheduledExecutorService createDaemonScheduler(String name) {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    private CompletionStage<HttpResponse> handleRequest(HttpRequest request) {
        lastRequestNanos = System.nanoTime();
        receivedRequests.incrementAndGet();
        ServerFaults activeFaults = faults.get().activeAt(System.nanoTime() / 1_000_000);
        if (!activeFaults.crashText().isEmpty() && request.path().contains(activeFaults.crashText())) {
            onCrash.run();
            return new CompletableFuture<>();
        }
        if (activeFaults.hang()) {
            return new CompletableFuture<>();
        }
        long serviceMillis = chooseServiceMillis(activeFaults);
        if (missesDeadline(request, serviceMillis) || runningRequests.incrementAndGet() > options.slots()) {
            return completed(shedResponse(request, serviceMillis));
        }
        request.header("X-Work-Id").forEach(id -> runsByWorkId
                .computeIfAbsent(id, key -> new AtomicInteger())
                .incrementAndGet());
        boolean injectsError = drawBoolean(activeFaults.errorShare());
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        serviceTimer.schedule(
                () -> {
                    runningRequests.decrementAndGet();
                    response.complete(
                            injectsError ? HttpResponse.problem(500, "failed", "injected") : answerResponse(request));
                },
                serviceMillis,
                TimeUnit.MILLISECONDS);
        return response.thenApply(value -> withRequestId(request, value));
    }

    private HttpResponse shedResponse(HttpRequest request, long serviceMillis) {
        if (!missesDeadline(request, serviceMillis)) {
            runningRequests.decrementAndGet();
        }
        return HttpResponse.problem(503, "shed", "no free slot, or too little time before the deadline")
                .withHeader(VERDICT_HEADER, "not-run");
    }

    private static boolean missesDeadline(HttpRequest request, long serviceMillis) {
        return request.header("Sardineshunt-Deadline-Left-Millis")
                .map(text -> Long.parseLong(text) < serviceMillis)
                .getOrElse(false);
    }

    private HttpResponse answerResponse(HttpRequest request) {
        Answer answer = new Answer(
                options.service(),
                options.id(),
                request.method() + ' ' + request.target(),
                request.header("X-Work-Id").getOrElse(""),
                request.body().length);
        return HttpResponse.json(200, answer);
    }

    private static HttpResponse withRequestId(HttpRequest request, HttpResponse response) {
        return request.header("Sardineshunt-Request-Id")
                .map(id -> response.withHeader("Sardineshunt-Request-Id", id))
                .getOrElse(response);
    }

    private long chooseServiceMillis(ServerFaults activeFaults) {
        // Uniform between 0.7 and 1.3, so the mean service time is as configured.
        double jitterFactor;
        synchronized (random) {
            jitterFactor = 0.7 + 0.6 * random.nextDouble();
        }
        boolean coldStarting = uptimeMillis() < options.coldStartMillis();
        double slowdownFactor = (coldStarting ? COLD_START_FACTOR : 1) * activeFaults.latencyFactor();
        return Math.round(options.serviceMillis() * jitterFactor * slowdownFactor);
    }

    private boolean drawBoolean(double probability) {
        synchronized (random) {
            return random.nextDouble() < probability;
        }
    }

    private HttpResponse healthResponse() {
        boolean healthy = faults.get().healthLies() || uptimeMillis() > REPORT_LAG_MILLIS;
        return HttpResponse.json(200, new Health(healthy ? "healthy" : "starting"));
    }

    private HttpResponse handleSetFaults(HttpRequest request) {
        return Json.read(request.body(), ServerFaults.class)
                .fold(error -> HttpResponse.problem(400, "malformed faults", error), value -> {
                    faults.set(value);
                    return HttpResponse.json(200, value);
                });
    }

    private void announce() {
        Announcement announcement = new Announcement(
                options.id(), options.service(), "127.0.0.1", port(), options.slots(), state, options.labels());
        Request request = new Request.Builder()
                .url("http://127.0.0.1:" + options.homePort() + "/announcements")
                .post(RequestBody.create(
                        Json.write(announcement).getBytes(StandardCharsets.UTF_8), MediaType.get("application/json")))
                .build();
        try (okhttp3.Response response = client.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                LOG.warnf(
                        "home node refused the announcement of '%s': %s",
                        options.id(), response.body().string());
            }
        } catch (java.io.IOException failure) {
            LOG.debugf("announcement to the home node failed: %s", failure.getMessage());
        }
    }

    private long uptimeMillis() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    private static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    private record Answer(String service, String upstream, String request, String workId, int bodyBytes) {}

    private record Health(String state) {}

    private record Load(int running) {}

    private record Announcement(
            String id, String service, String host, int port, int slots, String state, Map<String, String> labels) {}
}
