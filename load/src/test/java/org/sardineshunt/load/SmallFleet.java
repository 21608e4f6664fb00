package org.sardineshunt.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.sardineshunt.kit.TimeSpan;
import org.sardineshunt.load.Deployment.ServiceSize;
import org.sardineshunt.load.Deployment.WorkKind;
import org.sardineshunt.node.NodeSettings;
import org.sardineshunt.node.NodeSettings.RankSettings;
import org.sardineshunt.node.NodeSettings.RouteSettings;

/** Starts a fleet of three nodes for failure tests, and sends single requests or load to it. */
final class SmallFleet {
    static final WorkKind BOOKING =
            new WorkKind("booking", "booking", "POST", "/seats", true, new TimeSpan(3_000), 30, 40);
    static final WorkKind STATUS =
            new WorkKind("status", "status", "GET", "/seats", false, new TimeSpan(1_000), 100, 4);

    private static final OkHttpClient CLIENT = new OkHttpClient.Builder()
            .callTimeout(Duration.ofSeconds(10))
            .retryOnConnectionFailure(false)
            .build();

    private SmallFleet() {}

    /** Starts one node in each of three data centres, and upstreams of seat-booking with a service time of 10 ms. */
    static LocalFleet start(int upstreams) {
        return start(upstreams, 10);
    }

    /** Starts one node in each of three data centres, and upstreams of seat-booking. */
    static LocalFleet start(int upstreams, long serviceMillis) {
        Deployment deployment = new Deployment(
                "region",
                List.of("dc-1", "dc-2", "dc-3"),
                1,
                new TimeSpan(0),
                "unused",
                List.of(new ServiceSize("seat-booking", upstreams, 4, new TimeSpan(serviceMillis))),
                List.of(BOOKING, STATUS),
                "seat-booking",
                List.of("/seats"));
        return LocalFleet.start(deployment, template(), settings -> settings);
    }

    /** Returns settings with probes and timeouts that are short enough for tests. */
    static NodeSettings template() {
        return new NodeSettings(
                "template",
                "dc",
                "region",
                null,
                null,
                "http://127.0.0.1:1",
                List.of(new RankSettings("booking", 0.2), new RankSettings("status", 0.1)),
                List.of(
                        new RouteSettings(
                                "POST", "/plain", "seat-booking", "booking", false, false, new TimeSpan(2_000)),
                        new RouteSettings(
                                "POST", "/seats", "seat-booking", "booking", false, true, new TimeSpan(3_000)),
                        new RouteSettings("GET", "/seats", "seat-booking", "status", true, false, new TimeSpan(1_000))),
                0.5,
                null,
                new NodeSettings.TimingSettings(
                        new TimeSpan(500),
                        new TimeSpan(150),
                        new TimeSpan(900),
                        new TimeSpan(1_500),
                        new TimeSpan(300),
                        new TimeSpan(500),
                        new TimeSpan(500),
                        new TimeSpan(10_000)),
                null);
    }

    /** Sends one request to the caller port of a node and returns the complete answer. */
    static Reply send(LocalFleet fleet, String nodeId, String method, String path, Map<String, String> headers) {
        return send("http://127.0.0.1:" + fleet.node(nodeId).callerPort() + path, method, headers);
    }

    /** Sends one request; the body is empty JSON unless the method is GET. */
    static Reply send(String url, String method, Map<String, String> headers) {
        RequestBody body = method.equals("GET") ? null : RequestBody.create("{}".getBytes());
        Request.Builder request = new Request.Builder().url(url).method(method, body);
        headers.forEach(request::header);
        try (Response response = CLIENT.newCall(request.build()).execute()) {
            return new Reply(
                    response.code(),
                    response.header("Sardineshunt-Verdict", ""),
                    response.header("Sardineshunt-Reason", ""),
                    response.header("Sardineshunt-Ticket"),
                    response.body().string());
        } catch (IOException unanswered) {
            throw new UncheckedIOException(unanswered);
        }
    }

    /** Sends requests of both kinds at their usual rates and returns the report; runs a task beside them. */
    static LoadReport runLoad(LocalFleet fleet, long millis, long seed, Runnable duringLoad) {
        return runLoad(fleet, millis, seed, Map.of(), duringLoad);
    }

    /** Sends requests of both kinds at their usual rates times a factor by kind; runs a task beside them. */
    static LoadReport runLoad(
            LocalFleet fleet, long millis, long seed, Map<String, Double> rateFactors, Runnable duringLoad) {
        LoadPlan plan = LoadPlan.generate(
                List.of(BOOKING, STATUS), List.of(new LoadPlan.Phase("run", 0, millis, rateFactors)), seed);
        Thread duringLoadThread = new Thread(duringLoad, "failures");
        try (LoadClient client = new LoadClient(fleet.callerUrls(), 0)) {
            duringLoadThread.start();
            List<RequestResult> results = new LoadRunner(client, "w" + seed, count -> {}).run(plan);
            duringLoadThread.join();
            return LoadReport.of(results, fleet.runsByWorkId());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    /**
     * An answer.
     *
     * @param status HTTP status
     * @param verdict value of the verdict header; empty if absent
     * @param reason value of the reason header; empty if absent
     * @param ticket ticket to repeat the request with, or null
     * @param body complete body
     */
    record Reply(int status, String verdict, String reason, String ticket, String body) {}
}
