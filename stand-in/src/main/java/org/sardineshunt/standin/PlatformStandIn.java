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
 * The platform's table service and object store over plain HTTP, in memory.
 *
 * <p>Endpoints: {@code POST /table/transaction}, {@code GET /table/row?key=}, {@code GET /table/rows?from=&to=&limit=},
 * {@code PUT|GET /objects/{name}}, {@code POST /faults}, {@code GET /counts}. Requests over the rate limits are answered
 * with status 429. Thread-safe.
 */
public final class PlatformStandIn implements AutoCloseable {
    private static final int READS_PER_SECOND = 2_000;
    private static final int WRITES_PER_SECOND = 400;
    private static final int HIGHEST_ROWS = 1_000;

    private final Table table = new Table();
    private final Table.Objects objects = new Table.Objects();
    private final AtomicReference<TableFaults> faults = new AtomicReference<>(TableFaults.NONE);
    private final RateLimit reads = new RateLimit(READS_PER_SECOND);
    private final RateLimit writes = new RateLimit(WRITES_PER_SECOND);
    private final AtomicInteger readCount = new AtomicInteger();
    private final AtomicInteger writeCount = new AtomicInteger();
    private final HttpEndpoint endpoint;

    private PlatformStandIn(int port) {
        endpoint = HttpEndpoint.builder()
                .port(port)
                .route("POST", "/table/transaction", call -> serve(writes, writeCount, () -> transact(call)))
                .route("GET", "/table/row", call -> serve(reads, readCount, () -> row(call)))
                .route("GET", "/table/rows", call -> serve(reads, readCount, () -> rows(call)))
                .route("PUT", "/objects/{name}", call -> serve(writes, writeCount, () -> putObject(call)))
                .route("GET", "/objects/{name}", call -> serve(reads, readCount, () -> getObject(call)))
                .route("POST", "/faults", call -> CompletableFuture.completedFuture(setFaults(call)))
                .route("GET", "/counts", call -> CompletableFuture.completedFuture(counts()))
                .start();
    }

    /** Starts a stand-in on loopback; port 0 lets the system choose one. */
    public static PlatformStandIn start(int port) {
        return new PlatformStandIn(port);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return endpoint.port();
    }

    /** Sets the faults that it shows from now on. */
    public void faults(TableFaults newFaults) {
        faults.set(newFaults);
    }

    @Override
    public void close() {
        endpoint.close();
    }

    private CompletionStage<HttpResponse> serve(RateLimit limit, AtomicInteger count, Supplier<HttpResponse> action) {
        count.incrementAndGet();
        TableFaults current = faults.get();
        if (current.outage()) {
            return delayed(current, HttpResponse.problem(503, "outage", "the service is down"));
        }
        if (!limit.tryAcquire()) {
            return delayed(current, HttpResponse.problem(429, "rate limit", "too many requests a second"));
        }
        return delayed(current, action.get());
    }

    private static CompletionStage<HttpResponse> delayed(TableFaults current, HttpResponse reply) {
        return current.delayMillis() == 0
                ? CompletableFuture.completedFuture(reply)
                : CompletableFuture.supplyAsync(
                        () -> reply, CompletableFuture.delayedExecutor(current.delayMillis(), TimeUnit.MILLISECONDS));
    }

    private HttpResponse transact(HttpRequest call) {
        return Json.read(call.body(), Table.Transaction.class)
                .fold(error -> HttpResponse.problem(400, "malformed transaction", error), this::apply);
    }

    private HttpResponse apply(Table.Transaction transaction) {
        Table.Outcome outcome = table.apply(transaction);
        if (faults.get().loseWriteAnswers() > 0) {
            faults.updateAndGet(TableFaults::withOneLostAnswer);
            return HttpResponse.problem(504, "answer lost", "the write may have taken effect");
        }
        return HttpResponse.json(outcome.conflicts().isEmpty() ? 200 : 409, outcome);
    }

    private HttpResponse row(HttpRequest call) {
        return HttpResponse.json(
                200,
                new Table.Rows(table.read(call.queryParameter("key").getOrElse("")).stream()
                        .toList()));
    }

    private HttpResponse rows(HttpRequest call) {
        int limit = call.queryParameter("limit").map(Integer::parseInt).getOrElse(HIGHEST_ROWS);
        List<Table.Row> found = table.range(
                call.queryParameter("from").getOrElse(""),
                call.queryParameter("to").getOrElse("\uffff"),
                Math.min(limit, HIGHEST_ROWS));
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

    private HttpResponse setFaults(HttpRequest call) {
        return Json.read(call.body(), TableFaults.class)
                .fold(error -> HttpResponse.problem(400, "malformed faults", error), value -> {
                    faults.set(value);
                    return HttpResponse.json(200, value);
                });
    }

    private HttpResponse counts() {
        return HttpResponse.json(200, new Counts(readCount.get(), writeCount.get()));
    }

    private record Counts(int reads, int writes) {}

    /** Allows a number of requests in each second. */
    private static final class RateLimit {
        private final int perSecond;
        private long second;
        private int used;

        private RateLimit(int perSecond) {
            this.perSecond = perSecond;
        }

        private synchronized boolean tryAcquire() {
            long now = System.nanoTime() / 1_000_000_000L;
            used = now == second ? used + 1 : 1;
            second = now;
            return used <= perSecond;
        }
    }
}
