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
 * A backend server with slots, cold start, drain, shedding, deadlines and a lagging health endpoint.
 *
 * <p>Health and load endpoints lag by two seconds. Work may come to any path. The answer repeats the request's {@code Sardineshunt-Request-Id}, and its body names the
 * {@code X-Work-Id} that the caller sent, so that a load tool can tell whose answer it is. {@code GET /control/runs}
 * lists how often each work id was run. Thread-safe.
 */
public final class BackendServerStandIn implements AutoCloseable {
    /** Header by which a refusal says that the work did not run. */
    public static final String VERDICT_HEADER = "Sardineshunt-Verdict";

    private static final Logger LOG = Logger.getLogger(BackendServerStandIn.class);
    private static final int COLD_START_FACTOR = 3;
    private static final long HEALTH_LAG_MILLIS = 2_000;

    private final ServerOptions options;
    private final Runnable onCrash;
    private final Random random;
    private final ScheduledExecutorService timer;
    private final ScheduledExecutorService announcer;
    private final OkHttpClient client = new OkHttpClient.Builder()
            .callTimeout(java.time.Duration.ofSeconds(2))
            .build();
    private final AtomicReference<ServerFaults> faults = new AtomicReference<>(ServerFaults.NONE);
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger received = new AtomicInteger();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final long startedNanos = System.nanoTime();
    private final HttpEndpoint endpoint;
    private volatile String state = "ready";
    private volatile long leavingSinceNanos;
    private volatile long lastWorkNanos;
    private volatile int laggingLoad;

    private BackendServerStandIn(ServerOptions options, Runnable onCrash) {
        this.options = options;
        this.onCrash = onCrash;
        this.random = new Random(options.seed());
        this.timer = daemonTimer("service-time-" + options.id());
        this.announcer = daemonTimer("announcer-" + options.id());
        HttpEndpoint.Builder builder = HttpEndpoint.builder()
                .port(options.port())
                .route("GET", "/control/health", call -> done(health()))
                .route("GET", "/control/load", call -> done(HttpResponse.json(200, new Load(laggingLoad))))
                .route("GET", "/control/runs", call -> done(HttpResponse.json(200, runs)))
                .route("POST", "/control/faults", call -> done(setFaults(call)))
                .route("POST", "/control/drain", call -> done(startLeaving()));
        List.of("GET", "HEAD", "POST", "PUT", "DELETE").forEach(method -> builder.route(method, "/*", this::work));
        endpoint = builder.start();
        announcer.scheduleWithFixedDelay(
                () -> laggingLoad = running.get(), HEALTH_LAG_MILLIS, HEALTH_LAG_MILLIS, TimeUnit.MILLISECONDS);
        announcer.scheduleWithFixedDelay(this::announce, 0, options.announceMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a backend server.
     *
     * @param onCrash what a crash does, for example halting the process
     */
    public static BackendServerStandIn start(ServerOptions options, Runnable onCrash) {
        return new BackendServerStandIn(options, onCrash);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return endpoint.port();
    }

    /** Sets the faults that it shows from now on. */
    public void faults(ServerFaults newFaults) {
        faults.set(newFaults);
    }

    /** Announces that it stops; it goes on serving. */
    public HttpResponse startLeaving() {
        if (!state.equals("leaving")) {
            state = "leaving";
            leavingSinceNanos = System.nanoTime();
        }
        return HttpResponse.text(200, "text/plain", "leaving\n");
    }

    /** Returns how many milliseconds after it began to leave it last received work; 0 for never. */
    public long lastWorkAfterLeavingMillis() {
        long since = leavingSinceNanos;
        return since == 0 || lastWorkNanos < since ? 0 : (lastWorkNanos - since) / 1_000_000;
    }

    /** Returns how many requests for work arrived. */
    public int received() {
        return received.get();
    }

    /** Returns how many requests it runs now. */
    public int running() {
        return running.get();
    }

    /** Returns how often each work id was run. */
    public Map<String, Integer> runs() {
        Map<String, Integer> copy = new java.util.TreeMap<>();
        runs.forEach((id, count) -> copy.put(id, count.get()));
        return copy;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        announcer.shutdownNow();
        endpoint.close();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private static ScheduledExecutorService daemonTimer(String name) {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    private CompletionStage<HttpResponse> work(HttpRequest call) {
        lastWorkNanos = System.nanoTime();
        received.incrementAndGet();
        ServerFaults current = faults.get().at(System.nanoTime() / 1_000_000);
        if (!current.crashText().isEmpty() && call.path().contains(current.crashText())) {
            onCrash.run();
            return new CompletableFuture<>();
        }
        if (current.hang()) {
            return new CompletableFuture<>();
        }
        long millis = serviceMillis(current);
        if (missesDeadline(call, millis) || running.incrementAndGet() > options.slots()) {
            return done(shed(call, millis));
        }
        call.header("X-Work-Id").forEach(id -> runs.computeIfAbsent(id, key -> new AtomicInteger())
                .incrementAndGet());
        boolean fails = chance(current.errorShare());
        CompletableFuture<HttpResponse> reply = new CompletableFuture<>();
        timer.schedule(
                () -> {
                    running.decrementAndGet();
                    reply.complete(fails ? HttpResponse.problem(500, "failed", "injected") : answer(call));
                },
                millis,
                TimeUnit.MILLISECONDS);
        return reply.thenApply(value -> identify(call, value));
    }

    private HttpResponse shed(HttpRequest call, long millis) {
        if (!missesDeadline(call, millis)) {
            running.decrementAndGet();
        }
        return HttpResponse.problem(503, "shed", "no free slot, or too little time")
                .withHeader(VERDICT_HEADER, "not-run");
    }

    private static boolean missesDeadline(HttpRequest call, long millis) {
        return call.header("Sardineshunt-Deadline-Left-Millis")
                .map(text -> Long.parseLong(text) < millis)
                .getOrElse(false);
    }

    private HttpResponse answer(HttpRequest call) {
        Answer answer = new Answer(
                options.service(),
                options.id(),
                call.method() + ' ' + call.target(),
                call.header("X-Work-Id").getOrElse(""),
                call.body().length);
        return HttpResponse.json(200, answer);
    }

    private static HttpResponse identify(HttpRequest call, HttpResponse reply) {
        return call.header("Sardineshunt-Request-Id")
                .map(id -> reply.withHeader("Sardineshunt-Request-Id", id))
                .getOrElse(reply);
    }

    private long serviceMillis(ServerFaults current) {
        double spread;
        synchronized (random) {
            spread = 0.7 + 0.6 * random.nextDouble();
        }
        boolean cold = ageMillis() < options.coldStartMillis();
        double factor = (cold ? COLD_START_FACTOR : 1) * current.latencyFactor();
        return Math.round(options.serviceMillis() * spread * factor);
    }

    private boolean chance(double share) {
        synchronized (random) {
            return random.nextDouble() < share;
        }
    }

    private HttpResponse health() {
        boolean healthy = faults.get().healthLies() || ageMillis() > HEALTH_LAG_MILLIS;
        return HttpResponse.json(200, new Health(healthy ? "healthy" : "starting"));
    }

    private HttpResponse setFaults(HttpRequest call) {
        return Json.read(call.body(), ServerFaults.class)
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
                        "announcement of %s refused: %s",
                        options.id(), response.body().string());
            }
        } catch (java.io.IOException unreachable) {
            LOG.debugf("home node not reached: %s", unreachable.getMessage());
        }
    }

    private long ageMillis() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    private static CompletionStage<HttpResponse> done(HttpResponse reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private record Answer(String service, String upstream, String request, String workId, int bodyBytes) {}

    private record Health(String state) {}

    private record Load(int running) {}

    private record Announcement(
            String id, String service, String host, int port, int slots, String state, Map<String, String> labels) {}
}
