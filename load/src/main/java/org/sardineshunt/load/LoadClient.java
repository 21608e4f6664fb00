package org.sardineshunt.load;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.sardineshunt.kit.Json;
import org.sardineshunt.load.LoadPlan.Arrival;
import org.sardineshunt.load.RequestResult.Check;

/**
 * Sends requests as a careful caller does: a keyed request that may have run is sent again with the same key through
 * another node; a refused first send is repeated with the ticket that the refusal carries. Thread-safe.
 */
final class LoadClient implements AutoCloseable {
    private static final int MOST_SENDS = 4;
    private static final long REPEAT_DELAY_MILLIS = 250;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(8);

    private final List<String> targets;
    private final long delayMillis;
    private final OkHttpClient client;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "load-timer");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates a client.
     *
     * @param targets base URLs of nodes
     * @param delayMillis round trip that is added to each send
     */
    LoadClient(List<String> targets, long delayMillis) {
        this.targets = List.copyOf(targets);
        this.delayMillis = delayMillis;
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(8_192);
        dispatcher.setMaxRequestsPerHost(8_192);
        client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(1_024, 1, TimeUnit.MINUTES))
                .callTimeout(CALL_TIMEOUT)
                .retryOnConnectionFailure(false)
                .build();
    }

    /** Runs one request of the plan, with its repeats. */
    CompletableFuture<RequestResult> run(Arrival arrival, String workId, long startNanos) {
        Attempts attempts = new Attempts(arrival, workId, startNanos, new CompletableFuture<>());
        send(attempts, 1, workId, true);
        return attempts.result();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private void send(Attempts attempts, int number, String key, boolean firstSend) {
        int spread = Math.floorMod(attempts.workId().hashCode(), targets.size()) + number - 1;
        Request request = request(attempts, targets.get(spread % targets.size()), key, firstSend);
        Runnable call = () -> client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call failed, IOException failure) {
                judge(attempts, number, key, Reply.none(String.valueOf(failure.getMessage())));
            }

            @Override
            public void onResponse(Call answered, Response response) {
                judge(attempts, number, key, read(attempts.workId(), response));
            }
        });
        if (delayMillis == 0) {
            call.run();
        } else {
            timer.schedule(call, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private static Request request(Attempts attempts, String target, String key, boolean firstSend) {
        Deployment.WorkKind kind = attempts.arrival().kind();
        Request.Builder request = new Request.Builder()
                .url(target + kind.path() + "/" + attempts.workId())
                .header("X-Work-Id", attempts.workId());
        if (kind.method().equals("GET")) {
            return request.build();
        }
        request.post(RequestBody.create(("{\"work\":\"" + attempts.workId() + "\"}").getBytes()));
        if (kind.keyed()) {
            request.header("Idempotency-Key", key);
            request.header("Sardineshunt-First-Send", Boolean.toString(firstSend));
        }
        return request.build();
    }

    private void judge(Attempts attempts, int number, String key, Reply reply) {
        boolean keyed = attempts.arrival().kind().keyed();
        if (keyed && number < MOST_SENDS && reply.verdict().equals("may-have-run")) {
            repeat(attempts, number + 1, key);
        } else if (keyed && number < MOST_SENDS && reply.ticket() != null) {
            repeat(attempts, number + 1, reply.ticket());
        } else {
            double latency = (System.nanoTime() - attempts.startNanos()) / 1e6
                    - attempts.arrival().atMillis();
            attempts.result()
                    .complete(new RequestResult(
                            attempts.arrival(),
                            attempts.workId(),
                            latency,
                            reply.verdict(),
                            reply.reason(),
                            reply.status(),
                            number,
                            reply.check()));
        }
    }

    private void repeat(Attempts attempts, int number, String key) {
        timer.schedule(() -> send(attempts, number, key, false), REPEAT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static Reply read(String workId, Response response) {
        try (response) {
            byte[] body = response.body().bytes();
            String verdict = response.header("Sardineshunt-Verdict", "ran");
            Check check = verdict.equals("ran") && response.isSuccessful() ? check(workId, body) : Check.NO_CONTENT;
            return new Reply(
                    verdict,
                    response.header("Sardineshunt-Reason", "none"),
                    response.code(),
                    response.header("Sardineshunt-Ticket"),
                    check);
        } catch (IOException cut) {
            return new Reply("may-have-run", "client-answer-cut", 0, null, Check.CUT);
        }
    }

    private static Check check(String workId, byte[] body) {
        Either<String, JsonNode> tree = Json.readTree(body);
        if (tree.isLeft()) {
            return Check.CUT;
        }
        return tree.get().path("workId").asText().equals(workId) ? Check.WHOLE_AND_OWN : Check.WRONG_OWNER;
    }

    private record Attempts(Arrival arrival, String workId, long startNanos, CompletableFuture<RequestResult> result) {}

    private record Reply(String verdict, String reason, int status, String ticket, Check check) {
        private static Reply none(String reason) {
            return new Reply("may-have-run", "client: " + reason, 0, null, Check.NO_CONTENT);
        }
    }
}
