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
import org.sardineshunt.kit.HttpCall;
import org.sardineshunt.kit.HttpEndpoint;
import org.sardineshunt.kit.HttpReply;
import org.sardineshunt.node.NodeSettings.RouteSettings;

/** A plain proxy to compare with: it calls backend servers directly, without ranks, queues or coordination. */
final class BaselineProxy implements AutoCloseable {
    private static final int ERRORS_UNTIL_EJECTION = 5;
    private static final long EJECTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Policy policy;
    private final List<RouteSettings> routes;
    private final Map<String, List<Backend>> backends = new ConcurrentHashMap<>();
    private final AtomicInteger next = new AtomicInteger();
    private final AtomicInteger sends = new AtomicInteger();
    private final OkHttpClient client;
    private final HttpEndpoint endpoint;

    BaselineProxy(Policy policy, List<RouteSettings> routes, LocalFleet fleet, Deployment deployment) {
        this.policy = policy;
        this.routes = routes;
        deployment
                .services()
                .forEach(service -> backends.put(
                        service.name(),
                        fleet.upstreams(service.name()).stream()
                                .map(id -> new Backend(
                                        "http://127.0.0.1:" + fleet.server(id).port()))
                                .toList()));
        Dispatcher dispatcher = new Dispatcher();
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

    String url() {
        return "http://127.0.0.1:" + endpoint.port();
    }

    /** Returns how many requests it sent to backend servers. */
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

    private CompletableFuture<HttpReply> handle(HttpCall call) {
        RouteSettings route = routes.stream()
                .filter(candidate ->
                        candidate.method().equals(call.method()) && call.path().startsWith(candidate.path()))
                .findFirst()
                .orElseThrow();
        CompletableFuture<HttpReply> result = new CompletableFuture<>();
        long deadline = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(route.deadline().millis());
        attempt(call, route, deadline, result);
        return result;
    }

    private void attempt(HttpCall call, RouteSettings route, long deadline, CompletableFuture<HttpReply> result) {
        long left = deadline - System.nanoTime();
        if (left <= 0) {
            result.complete(HttpReply.problem(504, "timeout", "deadline").with("Sardineshunt-Verdict", "may-have-run"));
            return;
        }
        Backend backend = choose(backends.get(route.service()));
        backend.outstanding.incrementAndGet();
        sends.incrementAndGet();
        Call sent = client.newCall(request(call, backend));
        sent.timeout().timeout(left, TimeUnit.NANOSECONDS);
        sent.enqueue(new Callback() {
            @Override
            public void onFailure(Call failed, IOException failure) {
                backend.ended(false);
                attempt(call, route, deadline, result);
            }

            @Override
            public void onResponse(Call answered, Response response) {
                try (response) {
                    byte[] body = response.body().bytes();
                    backend.ended(response.code() < 500);
                    if (response.code() >= 500) {
                        attempt(call, route, deadline, result);
                    } else {
                        result.complete(new HttpReply(response.code(), List.of(), body));
                    }
                } catch (IOException cut) {
                    backend.ended(false);
                    attempt(call, route, deadline, result);
                }
            }
        });
    }

    private static Request request(HttpCall call, Backend backend) {
        Request.Builder request = new Request.Builder()
                .url(backend.url + call.target())
                .method(call.method(), call.method().equals("GET") ? null : RequestBody.create(call.body()));
        call.header("X-Work-Id").forEach(id -> request.header("X-Work-Id", id));
        return request.build();
    }

    private Backend choose(List<Backend> all) {
        if (policy == Policy.ROUND_ROBIN) {
            return all.get(Math.floorMod(next.getAndIncrement(), all.size()));
        }
        List<Backend> in = new ArrayList<>(all.stream().filter(Backend::isIn).toList());
        List<Backend> candidates = in.isEmpty() ? all : in;
        return candidates.stream()
                .min(Comparator.comparingInt(backend -> backend.outstanding.get()))
                .orElseThrow();
    }

    /** How a baseline chooses a backend server; both retry every failure until the deadline. */
    enum Policy {
        /** By turns, without ejection. */
        ROUND_ROBIN,
        /** Fewest requests outstanding; five errors in a row eject for ten seconds. */
        LEAST_OUTSTANDING
    }

    private static final class Backend {
        private final String url;
        private final AtomicInteger outstanding = new AtomicInteger();
        private final AtomicInteger errorsInARow = new AtomicInteger();
        private volatile long outUntilNanos = System.nanoTime();

        private Backend(String url) {
            this.url = url;
        }

        private boolean isIn() {
            return System.nanoTime() - outUntilNanos >= 0;
        }

        private void ended(boolean good) {
            outstanding.decrementAndGet();
            if (good) {
                errorsInARow.set(0);
            } else if (errorsInARow.incrementAndGet() >= ERRORS_UNTIL_EJECTION) {
                errorsInARow.set(0);
                outUntilNanos = System.nanoTime() + EJECTION_NANOS;
            }
        }
    }
}
