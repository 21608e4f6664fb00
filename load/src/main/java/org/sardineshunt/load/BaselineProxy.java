package org.sardineshunt.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.sardineshunt.kit.HttpEndpoint;
import org.sardineshunt.kit.HttpRequest;
import org.sardineshunt.kit.HttpResponse;
import org.sardineshunt.node.NodeSettings.RouteSettings;

/**
 * A simple proxy that experiments compare the fleet with. It calls backend servers directly, without ranks, queues or
 * coordination, and retries every failure, a 5xx answer included, until the deadline of the route. Thread-safe.
 */
final class BaselineProxy implements AutoCloseable {
    private static final int CONSECUTIVE_ERRORS_UNTIL_EJECTION = 5;
    private static final long EJECTION_DURATION_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Policy policy;
    private final List<RouteSettings> routes;
    private final Map<String, List<BackendServer>> serversByService = new ConcurrentHashMap<>();
    private final AtomicInteger nextIndex = new AtomicInteger();
    private final AtomicInteger sends = new AtomicInteger();
    private final OkHttpClient client;
    private final HttpEndpoint endpoint;

    BaselineProxy(Policy policy, List<RouteSettings> routes, LocalFleet fleet, Deployment deployment) {
        this.policy = policy;
        this.routes = routes;
        deployment
                .services()
                .forEach(service -> serversByService.put(
                        service.name(),
                        fleet.upstreamIds(service.name()).stream()
                                .map(id -> new BackendServer(
                                        "http://127.0.0.1:" + fleet.server(id).port()))
                                .toList()));
        Dispatcher dispatcher = new Dispatcher();
        // The defaults of OkHttp, 64 requests and 5 per host, would queue requests in this proxy.
        dispatcher.setMaxRequests(8_192);
        dispatcher.setMaxRequestsPerHost(8_192);
        client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(1_024, 1, TimeUnit.MINUTES))
                .retryOnConnectionFailure(false)
                .build();
        endpoint = HttpEndpoint.builder()
                .eventLoops(2)
                .route("GET", "/*", this::handle)
                .route("POST", "/*", this::handle)
                .start();
    }

    /** Returns the base URL for callers. */
    String url() {
        return "http://127.0.0.1:" + endpoint.port();
    }

    /** Returns the number of requests sent to backend servers, retries included. */
    int sends() {
        return sends.get();
    }

    @Override
    public void close() {
        endpoint.close();
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private CompletableFuture<HttpResponse> handle(HttpRequest request) {
        RouteSettings route = routes.stream()
                .filter(settings -> settings.method().equals(request.method())
                        && request.path().startsWith(settings.path()))
                .findFirst()
                .orElseThrow();
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        long deadlineNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(route.deadline().millis());
        attempt(request, route, deadlineNanos, result);
        return result;
    }

    private void attempt(
            HttpRequest request, RouteSettings route, long deadlineNanos, CompletableFuture<HttpResponse> result) {
        long remainingNanos = deadlineNanos - System.nanoTime();
        if (remainingNanos <= 0) {
            result.complete(HttpResponse.problem(504, "timeout", "deadline")
                    .withHeader("Sardineshunt-Verdict", "may-have-run"));
            return;
        }
        BackendServer server = choose(serversByService.get(route.service()));
        server.outstanding.incrementAndGet();
        sends.incrementAndGet();
        Call backendCall = client.newCall(toBackendRequest(request, server));
        backendCall.timeout().timeout(remainingNanos, TimeUnit.NANOSECONDS);
        backendCall.enqueue(new Callback() {
            @Override
            public void onFailure(Call failed, IOException failure) {
                server.recordOutcome(false);
                attempt(request, route, deadlineNanos, result);
            }

            @Override
            public void onResponse(Call answered, Response response) {
                try (response) {
                    byte[] body = response.body().bytes();
                    server.recordOutcome(response.code() < 500);
                    if (response.code() >= 500) {
                        attempt(request, route, deadlineNanos, result);
                    } else {
                        result.complete(new HttpResponse(response.code(), List.of(), body));
                    }
                } catch (IOException truncated) {
                    server.recordOutcome(false);
                    attempt(request, route, deadlineNanos, result);
                }
            }
        });
    }

    private static Request toBackendRequest(HttpRequest request, BackendServer server) {
        Request.Builder backendRequest = new Request.Builder()
                .url(server.url + request.target())
                .method(request.method(), request.method().equals("GET") ? null : RequestBody.create(request.body()));
        request.header("X-Work-Id").forEach(id -> backendRequest.header("X-Work-Id", id));
        return backendRequest.build();
    }

    private BackendServer choose(List<BackendServer> all) {
        if (policy == Policy.ROUND_ROBIN) {
            return all.get(Math.floorMod(nextIndex.getAndIncrement(), all.size()));
        }
        List<BackendServer> inRotation =
                new ArrayList<>(all.stream().filter(BackendServer::isInRotation).toList());
        // With all servers ejected, every one of them is a candidate.
        List<BackendServer> candidates = inRotation.isEmpty() ? all : inRotation;
        return candidates.stream()
                .min(Comparator.comparingInt(server -> server.outstanding.get()))
                .orElseThrow();
    }

    /** How a baseline proxy chooses a backend server. */
    enum Policy {
        /** Takes the servers in turn, without ejection. */
        ROUND_ROBIN,
        /** Takes the server with the fewest outstanding requests; five consecutive errors eject it for ten seconds. */
        LEAST_OUTSTANDING
    }

    private static final class BackendServer {
        private final String url;
        private final AtomicInteger outstanding = new AtomicInteger();
        private final AtomicInteger consecutiveErrors = new AtomicInteger();
        private volatile long ejectedUntilNanos = System.nanoTime();

        private BackendServer(String url) {
            this.url = url;
        }

        private boolean isInRotation() {
            return System.nanoTime() - ejectedUntilNanos >= 0;
        }

        private void recordOutcome(boolean succeeded) {
            outstanding.decrementAndGet();
            if (succeeded) {
                consecutiveErrors.set(0);
            } else if (consecutiveErrors.incrementAndGet() >= CONSECUTIVE_ERRORS_UNTIL_EJECTION) {
                consecutiveErrors.set(0);
                ejectedUntilNanos = System.nanoTime() + EJECTION_DURATION_NANOS;
            }
        }
    }
}
