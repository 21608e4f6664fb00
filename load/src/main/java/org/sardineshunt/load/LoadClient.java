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
 * Sends requests like a caller that never risks a double run. A keyed request that may have run is repeated with the
 * same key through another node, and a refused first send is repeated with the ticket of the refusal. Thread-safe.
 */
final class LoadClient implements AutoCloseable {
    private static final int MAXIMUM_SENDS = 4;
    private static final long REPEAT_DELAY_MILLIS = 250;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(8);

    private final List<String> targets;
    private final long addedDelayMillis;
    private final OkHttpClient client;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "load-timer");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates a client.
     *
     * @param targets base URLs of the nodes' caller ports
     * @param addedDelayMillis delay before each send, which stands for the round trip between caller and node
     */
    LoadClient(List<String> targets, long addedDelayMillis) {
        this.targets = List.copyOf(targets);
        this.addedDelayMillis = addedDelayMillis;
        Dispatcher dispatcher = new Dispatcher();
        // The defaults of OkHttp, 64 requests and 5 per host, would queue requests in this client.
        dispatcher.setMaxRequests(8_192);
        dispatcher.setMaxRequestsPerHost(8_192);
        client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(1_024, 1, TimeUnit.MINUTES))
                .callTimeout(CALL_TIMEOUT)
                .retryOnConnectionFailure(false)
                .build();
    }

    /**
     * Sends one request of the plan, with its repeats.
     *
     * @param runStartNanos start of the run by {@link System#nanoTime()}
     * @return a future that completes with the result when the last send has ended
     */
    CompletableFuture<RequestResult> run(Arrival arrival, String workId, long runStartNanos) {
        PendingRequest pending = new PendingRequest(arrival, workId, runStartNanos, new CompletableFuture<>());
        send(pending, 1, workId, true);
        return pending.result();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private void send(PendingRequest pending, int sendNumber, String key, boolean firstSend) {
        // Spreads the first sends over the targets; each repeat goes to the next target.
        int targetOffset = Math.floorMod(pending.workId().hashCode(), targets.size()) + sendNumber - 1;
        Request request = toRequest(pending, targets.get(targetOffset % targets.size()), key, firstSend);
        Runnable sendCall = () -> client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call failed, IOException failure) {
                repeatOrComplete(pending, sendNumber, key, Reply.noAnswer(String.valueOf(failure.getMessage())));
            }

            @Override
            public void onResponse(Call answered, Response response) {
                repeatOrComplete(pending, sendNumber, key, toReply(pending.workId(), response));
            }
        });
        if (addedDelayMillis == 0) {
            sendCall.run();
        } else {
            timer.schedule(sendCall, addedDelayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private static Request toRequest(PendingRequest pending, String target, String key, boolean firstSend) {
        Deployment.WorkKind kind = pending.arrival().kind();
        Request.Builder request = new Request.Builder()
                .url(target + kind.path() + "/" + pending.workId())
                .header("X-Work-Id", pending.workId());
        if (kind.method().equals("GET")) {
            return request.build();
        }
        request.post(RequestBody.create(("{\"work\":\"" + pending.workId() + "\"}").getBytes()));
        if (kind.keyed()) {
            request.header("Idempotency-Key", key);
            request.header("Sardineshunt-First-Send", Boolean.toString(firstSend));
        }
        return request.build();
    }

    private void repeatOrComplete(PendingRequest pending, int sendNumber, String key, Reply reply) {
        boolean keyed = pending.arrival().kind().keyed();
        if (keyed && sendNumber < MAXIMUM_SENDS && reply.verdict().equals("may-have-run")) {
            scheduleRepeat(pending, sendNumber + 1, key);
        } else if (keyed && sendNumber < MAXIMUM_SENDS && reply.ticket() != null) {
            scheduleRepeat(pending, sendNumber + 1, reply.ticket());
        } else {
            double latencyMillis = (System.nanoTime() - pending.runStartNanos()) / 1e6
                    - pending.arrival().atMillis();
            pending.result()
                    .complete(new RequestResult(
                            pending.arrival(),
                            pending.workId(),
                            latencyMillis,
                            reply.verdict(),
                            reply.reason(),
                            reply.status(),
                            sendNumber,
                            reply.check()));
        }
    }

    private void scheduleRepeat(PendingRequest pending, int sendNumber, String key) {
        timer.schedule(() -> send(pending, sendNumber, key, false), REPEAT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static Reply toReply(String workId, Response response) {
        try (response) {
            byte[] body = response.body().bytes();
            // Answers of baseline proxies and backend servers may carry no verdict.
            String verdict = response.header("Sardineshunt-Verdict", "ran");
            Check check =
                    verdict.equals("ran") && response.isSuccessful() ? checkAnswer(workId, body) : Check.NO_CONTENT;
            return new Reply(
                    verdict,
                    response.header("Sardineshunt-Reason", "none"),
                    response.code(),
                    response.header("Sardineshunt-Ticket"),
                    check);
        } catch (IOException truncated) {
            return new Reply("may-have-run", "client-answer-cut", 0, null, Check.CUT);
        }
    }

    private static Check checkAnswer(String workId, byte[] body) {
        Either<String, JsonNode> json = Json.readTree(body);
        if (json.isLeft()) {
            return Check.CUT;
        }
        return json.get().path("workId").asText().equals(workId) ? Check.WHOLE_AND_OWN : Check.WRONG_OWNER;
    }

    private record PendingRequest(
            Arrival arrival, String workId, long runStartNanos, CompletableFuture<RequestResult> result) {}

    private record Reply(String verdict, String reason, int status, String ticket, Check check) {
        private static Reply noAnswer(String reason) {
            return new Reply("may-have-run", "client: " + reason, 0, null, Check.NO_CONTENT);
        }
    }
}
