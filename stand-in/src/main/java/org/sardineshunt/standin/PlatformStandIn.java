package org.sardineshunt.standin;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.sardineshunt.kit.HttpEndpoint;
import org.sardineshunt.kit.HttpRequest;
import org.sardineshunt.kit.HttpResponse;
import org.sardineshunt.kit.Json;

/**
 * In-memory stand-in for the platform's table service and object store, over plain HTTP.
 *
 * <p>Endpoints: {@code POST /table/transaction}, {@code GET /table/row?key=}, {@code GET /table/rows?from=&to=&limit=},
 * {@code PUT|GET /objects/{name}}, {@code POST /faults}, {@code GET /counts}. Requests that exceed the rate limits for
 * reads or writes are answered with status 429. Thread-safe.
 */
public final class PlatformStandIn implements AutoCloseable {
    private static final int READS_PER_SECOND = 2_000;
    private static final int WRITES_PER_SECOND = 400;
    private static final int MAXIMUM_ROWS = 1_000;

    private final Table table = new Table();
    private final Table.ObjectStore objects = new Table.ObjectStore();
    private final AtomicReference<PlatformFaults> faults = new AtomicReference<>(PlatformFaults.NONE);
    private final RateLimit reads = new RateLimit(READS_PER_SECOND);
    private final RateLimit writes = new RateLimit(WRITES_PER_SECOND);
    private final AtomicInteger readCount = new AtomicInteger();
    private final AtomicInteger writeCount = new AtomicInteger();
    private final HttpEndpoint endpoint;

    private PlatformStandIn(int port) {
        endpoint = HttpEndpoint.builder()
                .port(port)
                .route("POST", "/table/transaction", request -> handle(writes, writeCount, () -> transact(request)))
                .route("GET", "/table/row", request -> handle(reads, readCount, () -> getRow(request)))
                .route("GET", "/table/rows", request -> handle(reads, readCount, () -> getRows(request)))
                .route("PUT", "/objects/{name}", request -> handle(writes, writeCount, () -> putObject(request)))
                .route("GET", "/objects/{name}", request -> handle(reads, readCount, () -> getObject(request)))
                .route("POST", "/faults", request -> CompletableFuture.completedFuture(handleSetFaults(request)))
                .route("GET", "/counts", request -> CompletableFuture.completedFuture(countsResponse()))
                .start();
    }

    /** Starts a stand-in on loopback; with port 0 the system chooses a port. */
    public static PlatformStandIn start(int port) {
        return new PlatformStandIn(port);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return endpoint.port();
    }

    /** Sets the faults that are simulated from now on. */
    public void setFaults(PlatformFaults newFaults) {
        faults.set(newFaults);
    }

    @Override
    public void close() {
        endpoint.close();
    }

    private CompletionStage<HttpResponse> handle(RateLimit limit, AtomicInteger count, Supplier<HttpResponse> action) {
        count.incrementAndGet();
        PlatformFaults currentFaults = faults.get();
        if (currentFaults.outage()) {
            return delayed(currentFaults, HttpResponse.problem(503, "outage", "the service is down"));
        }
        if (!limit.tryAcquire()) {
            return delayed(currentFaults, HttpResponse.problem(429, "rate limit", "too many requests per second"));
        }
        return delayed(currentFaults, action.get());
    }

    private static CompletionStage<HttpResponse> delayed(PlatformFaults currentFaults, HttpResponse response) {
        return currentFaults.delayMillis() == 0
                ? CompletableFuture.completedFuture(response)
                : CompletableFuture.supplyAsync(
                        () -> response,
                        CompletableFuture.delayedExecutor(currentFaults.delayMillis(), TimeUnit.MILLISECONDS));
    }

    private HttpResponse transact(HttpRequest request) {
        return Json.read(request.body(), Table.Transaction.class)
                .fold(error -> HttpResponse.problem(400, "malformed transaction", error), this::applyTransaction);
    }

    private HttpResponse applyTransaction(Table.Transaction transaction) {
        Table.Outcome outcome = table.apply(transaction);
        if (faults.get().loseWriteAnswers() > 0) {
            faults.updateAndGet(PlatformFaults::withOneLostAnswer);
            return HttpResponse.problem(504, "answer lost", "the write may have taken effect");
        }
        return HttpResponse.json(outcome.conflicts().isEmpty() ? 200 : 409, outcome);
    }

    private HttpResponse getRow(HttpRequest request) {
        return HttpResponse.json(
                200,
                new Table.Rows(table.read(request.queryParameter("key").getOrElse("")).stream()
                        .toList()));
    }

    private HttpResponse getRows(HttpRequest request) {
        int limit = request.queryParameter("limit").map(Integer::parseInt).getOrElse(MAXIMUM_ROWS);
        List<Table.Row> found = table.range(
                request.queryParameter("from").getOrElse(""),
                request.queryParameter("to").getOrElse("\uffff"),
                Math.min(limit, MAXIMUM_ROWS));
        return HttpResponse.json(200, new Table.Rows(found));
    }

    private HttpResponse putObject(HttpRequest request) {
        objects.put(request.pathParameters().get("name"), request.body());
        return HttpResponse.text(200, "text/plain", "stored\n");
    }

    private HttpResponse getObject(HttpRequest request) {
        return objects.get(request.pathParameters().get("name"))
                .map(content -> new HttpResponse(200, List.of(), content))
                .orElseGet(() -> HttpResponse.problem(404, "no such object", request.path()));
    }

    private HttpResponse handleSetFaults(HttpRequest request) {
        return Json.read(request.body(), PlatformFaults.class)
                .fold(error -> HttpResponse.problem(400, "malformed faults", error), value -> {
                    faults.set(value);
                    return HttpResponse.json(200, value);
                });
    }

    private HttpResponse countsResponse() {
        return HttpResponse.json(200, new Counts(readCount.get(), writeCount.get()));
    }

    private record Counts(int reads, int writes) {}

    /** Rate limit with fixed windows of one second. Thread-safe. */
    private static final class RateLimit {
        private final int requestsPerSecond;
        private long currentSecond;
        private int usedInSecond;

        private RateLimit(int requestsPerSecond) {
            this.requestsPerSecond = requestsPerSecond;
        }

        private synchronized boolean tryAcquire() {
            long nowSeconds = System.nanoTime() / 1_000_000_000L;
            usedInSecond = nowSeconds == currentSecond ? usedInSecond + 1 : 1;
            currentSecond = nowSeconds;
            return usedInSecond <= requestsPerSecond;
        }
    }
}
