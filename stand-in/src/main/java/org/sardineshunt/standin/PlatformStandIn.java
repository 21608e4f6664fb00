package org.sardineshunt.standin;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.sardineshunt.kit.HttpCall;
import org.sardineshunt.kit.HttpEndpoint;
import org.sardineshunt.kit.HttpReply;
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
    private final AtomicReference<PlatformFaults> faults = new AtomicReference<>(PlatformFaults.NONE);
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
    public void setFaults(PlatformFaults newFaults) {
        faults.set(newFaults);
    }

    @Override
    public void close() {
        endpoint.close();
    }

    private CompletionStage<HttpReply> serve(RateLimit limit, AtomicInteger count, Supplier<HttpReply> action) {
        count.incrementAndGet();
        PlatformFaults current = faults.get();
        if (current.outage()) {
            return delayed(current, HttpReply.problem(503, "outage", "the service is down"));
        }
        if (!limit.tryAcquire()) {
            return delayed(current, HttpReply.problem(429, "rate limit", "too many requests a second"));
        }
        return delayed(current, action.get());
    }

    private static CompletionStage<HttpReply> delayed(PlatformFaults current, HttpReply reply) {
        return current.delayMillis() == 0
                ? CompletableFuture.completedFuture(reply)
                : CompletableFuture.supplyAsync(
                        () -> reply, CompletableFuture.delayedExecutor(current.delayMillis(), TimeUnit.MILLISECONDS));
    }

    private HttpReply transact(HttpCall call) {
        return Json.read(call.body(), Table.Transaction.class)
                .fold(error -> HttpReply.problem(400, "malformed transaction", error), this::apply);
    }

    private HttpReply apply(Table.Transaction transaction) {
        Table.Outcome outcome = table.apply(transaction);
        if (faults.get().loseWriteAnswers() > 0) {
            faults.updateAndGet(PlatformFaults::withOneLostAnswer);
            return HttpReply.problem(504, "answer lost", "the write may have taken effect");
        }
        return HttpReply.json(outcome.conflicts().isEmpty() ? 200 : 409, outcome);
    }

    private HttpReply row(HttpCall call) {
        return HttpReply.json(
                200,
                new Table.Rows(
                        table.read(call.parameter("key").getOrElse("")).stream().toList()));
    }

    private HttpReply rows(HttpCall call) {
        int limit = call.parameter("limit").map(Integer::parseInt).getOrElse(HIGHEST_ROWS);
        List<Table.Row> found = table.range(
                call.parameter("from").getOrElse(""),
                call.parameter("to").getOrElse("\uffff"),
                Math.min(limit, HIGHEST_ROWS));
        return HttpReply.json(200, new Table.Rows(found));
    }

    private HttpReply putObject(HttpCall call) {
        objects.put(call.pathValues().get("name"), call.body());
        return HttpReply.text(200, "text/plain", "stored\n");
    }

    private HttpReply getObject(HttpCall call) {
        return objects.get(call.pathValues().get("name"))
                .map(content -> new HttpReply(200, List.of(), content))
                .orElseGet(() -> HttpReply.problem(404, "no such object", call.path()));
    }

    private HttpReply setFaults(HttpCall call) {
        return Json.read(call.body(), PlatformFaults.class)
                .fold(error -> HttpReply.problem(400, "malformed faults", error), value -> {
                    faults.set(value);
                    return HttpReply.json(200, value);
                });
    }

    private HttpReply counts() {
        return HttpReply.json(200, new Counts(readCount.get(), writeCount.get()));
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
