package org.sardineshunt.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.sardineshunt.kit.Json;

/** Asks the nodes of a local fleet over HTTP, and waits for conditions. */
public final class OperatorClient {
    private static final long POLL_MILLIS = 20;
    private static final long MAXIMUM_WAIT_SECONDS = 30;

    private final LocalFleet fleet;
    private final OkHttpClient httpClient =
            new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(10)).build();

    /** Creates a client of the nodes of a fleet. */
    public OperatorClient(LocalFleet fleet) {
        this.fleet = fleet;
    }

    /** Returns the answer of a node's operator port to a GET. */
    public JsonNode get(String nodeId, String path) {
        return send(new Request.Builder().url(fleet.operatorUrl(nodeId) + path).build());
    }

    /** Returns the answer of a node's operator port to a POST. */
    public JsonNode post(String nodeId, String path, Object content) {
        RequestBody body = RequestBody.create(
                Json.line(content).getBytes(StandardCharsets.UTF_8), MediaType.get("application/json"));
        return send(new Request.Builder()
                .url(fleet.operatorUrl(nodeId) + path)
                .post(body)
                .build());
    }

    /** Returns the names of the upstreams that a node has in full use. */
    public List<String> upstreamsInRotation(String nodeId) {
        return elements(get(nodeId, "/operator/services"))
                .flatMap(service -> elements(get(
                                nodeId,
                                "/operator/services/" + service.path("service").asText())
                        .path("upstreams")))
                .filter(upstream -> upstream.path("use").asText().equals("full"))
                .map(upstream -> upstream.path("upstream").asText())
                .toList();
    }

    /** Returns the revision that a node holds. */
    public long revision(String nodeId) {
        return get(nodeId, "/operator/status").path("revision").asLong();
    }

    /** Adds an override through a node and returns the result. */
    public JsonNode addOverride(String nodeId, String id, String action, String selector) {
        return post(
                nodeId,
                "/operator/overrides",
                Map.of("id", id, "action", action, "selector", selector, "author", "tester", "reason", "test"));
    }

    /**
     * Waits until a condition holds; returns how many milliseconds that took.
     *
     * @throws IllegalStateException if it does not hold within 30 s
     */
    public long await(String description, BooleanSupplier condition) {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(MAXIMUM_WAIT_SECONDS)) {
            if (condition.getAsBoolean()) {
                return (System.nanoTime() - startNanos) / 1_000_000;
            }
            sleep(POLL_MILLIS);
        }
        throw new IllegalStateException("waited " + MAXIMUM_WAIT_SECONDS + " s in vain for: " + description);
    }

    /** Waits for some milliseconds. */
    public static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static java.util.stream.Stream<JsonNode> elements(JsonNode array) {
        return StreamSupport.stream(array.spliterator(), false);
    }

    private JsonNode send(Request request) {
        try (Response response = httpClient.newCall(request).execute()) {
            return Json.readTree(response.body().bytes())
                    .getOrElseThrow((String error) -> new IllegalStateException(request.url() + ": " + error));
        } catch (IOException unreachable) {
            throw new UncheckedIOException(unreachable);
        }
    }
}
