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

/** Sends requests to the operator ports of a local fleet, and waits for conditions. */
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

    /**
     * Sends a GET request to the operator port of a node.
     *
     * @return the JSON body of the response, whatever its status
     * @throws UncheckedIOException if the node isn't reached or doesn't respond within 10 s
     * @throws IllegalStateException if the body isn't JSON
     */
    public JsonNode get(String nodeId, String path) {
        return send(new Request.Builder().url(fleet.operatorUrl(nodeId) + path).build());
    }

    /**
     * Sends a POST request to the operator port of a node.
     *
     * @param content value that is sent as JSON
     * @return the JSON body of the response, whatever its status
     * @throws UncheckedIOException if the node isn't reached or doesn't respond within 10 s
     * @throws IllegalStateException if the body isn't JSON
     */
    public JsonNode post(String nodeId, String path, Object content) {
        RequestBody body = RequestBody.create(
                Json.write(content).getBytes(StandardCharsets.UTF_8), MediaType.get("application/json"));
        return send(new Request.Builder()
                .url(fleet.operatorUrl(nodeId) + path)
                .post(body)
                .build());
    }

    /** Returns the ids of the upstreams in full use, of all services, as a node sees them. */
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

    /** Returns the revision of the configuration that a node holds. */
    public long revision(String nodeId) {
        return get(nodeId, "/operator/status").path("revision").asLong();
    }

    /** Adds an override through a node; the returned result says whether it was accepted. */
    public JsonNode addOverride(String nodeId, String id, String action, String selector) {
        return post(
                nodeId,
                "/operator/overrides",
                Map.of("id", id, "action", action, "selector", selector, "author", "tester", "reason", "test"));
    }

    /**
     * Waits until a condition holds.
     *
     * @param description names the condition in the error message
     * @return how long that took, in milliseconds
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
        throw new IllegalStateException("condition not met within " + MAXIMUM_WAIT_SECONDS + " s: " + description);
    }

    /** Sleeps; an interrupt ends the sleep and stays set. */
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
