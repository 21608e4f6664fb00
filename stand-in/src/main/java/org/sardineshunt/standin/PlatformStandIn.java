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
                .route("POST", "/table/transaction", call -> handle(writes, writeCount, () -> transact(call)))
                .route("GET", "/table/row", call -> handle(reads, readCount, () -> getRow(call)))
                .route("GET", "/table/rows", call -> handle(reads, readCount, () -> getRows(call)))
                .route("PUT", "/objects/{name}", call -> handle(writes, writeCount, () -> putObject(call)))
                .route("GET", "/objects/{name}", call -> handle(reads, readCount, () -> getObject(call)))
                .route("POST", "/faults", call -> CompletableFuture.completedFuture(handleSetFaults(call)))
                .route("GET", "/counts", call -> CompletableFuture.completedFuture(countsReply()))
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

    private static CompletionStage<HttpResponse> delayed(PlatformFaults currentFaults, HttpResponse reply) {
        return currentFaults.delayMillis() == 0
                ? CompletableFuture.completedFuture(reply)
                : CompletableFuture.supplyAsync(
                        () -> reply,
                        CompletableFuture.delayedExecutor(currentFaults.delayMillis(), TimeUnit.MILLISECONDS));
    }

    private HttpResponse transact(HttpRequest call) {
        return Json.read(call.body(), Table.Transaction.class)
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

    private HttpResponse getRow(HttpRequest call) {
        return HttpResponse.json(
                200,
                new Table.Rows(table.read(call.queryParameter("key").getOrElse("")).stream()
                        .toList()));
    }

    private HttpResponse getRows(HttpRequest call) {
        int limit = call.queryParameter("limit").map(Integer::parseInt).getOrElse(MAXIMUM_ROWS);
        List<Table.Row> found = table.range(
                call.queryParameter("from").getOrElse(""),
                call.queryParameter("to").getOrElse("\uffff"),
                Math.min(limit, MAXIMUM_ROWS));
        return HttpResponse.json(200, new Table.Rows(found));
    }

    private HttpResponse putObject(HttpRequest call) {
        objects.put(call.pathParameters().get("name"), call.body());
        return HttpResponse.text(200, "text/plain", "stored\n");
    }

    private HttpResponse getObject(HttpRequest call) {
        return objects.get(call.pathParameters().get("name"))
                .map(content -> new HttpResponse(200, List.of(), content))
                .orElseGet(() -> HttpResponse.problem(404, "no such object", call.path()));
    }

    private HttpResponse handleSetFaults(HttpRequest call) {
        return Json.read(call.body(), PlatformFaults.class)
                .fold(error -> HttpResponse.problem(400, "malformed faults", error), value -> {
                    faults.set(value);
                    return HttpResponse.json(200, value);
                });
    }

    private HttpResponse countsReply() {
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
