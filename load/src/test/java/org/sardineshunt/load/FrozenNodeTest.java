package org.sardineshunt.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sardineshunt.standin.BackendServerStandIn;
import org.sardineshunt.standin.ServerOptions;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Suspends a node that runs as a separate process, as a long pause of its machine would, and resumes it. */
class FrozenNodeTest {
    private static final Pattern PORTS =
            Pattern.compile("callers on port (\\d+), operators on port (\\d+), peers on port (\\d+)");

    @TempDir
    private Path directory;

    private LocalFleet fleet;
    private Process nodeProcess;
    private int callerPort;
    private int operatorPort;
    private BackendServerStandIn server;

    @BeforeEach
    void startFleetAndProcess() throws IOException {
        fleet = SmallFleet.start(3);
        nodeProcess = startNode();
        server = BackendServerStandIn.start(ServerOptions.of("seat-booking-9", "seat-booking", operatorPort), () -> {});
        OperatorClient operatorClient = new OperatorClient(fleet);
        operatorClient.await("process ready", this::isReady);
        operatorClient.await("upstream of the process in rotation", () -> fleet.nodeIds().stream()
                .allMatch(nodeId -> operatorClient.upstreamsInRotation(nodeId).contains("seat-booking-9")));
    }

    @AfterEach
    void stop() {
        nodeProcess.destroyForcibly();
        server.close();
        fleet.close();
    }

    @Test
    void requestsAreAnsweredAndRunOnceWhileAHomeIsFrozen() throws Exception {
        LoadReport report = SmallFleet.runLoad(fleet, 8_000, 51, () -> {
            OperatorClient.sleep(1_500);
            sendSignal("STOP");
            OperatorClient.sleep(4_000);
            sendSignal("CONT");
        });

        int doubleRuns = (int) server.runsByWorkId().values().stream()
                .filter(count -> count > 1)
                .count();
        assertThat("double runs at the frozen home", doubleRuns, is(0));
        assertThat(report.table(), report.safety().doubles(), is(0));
        assertThat(
                report.table(), report.safety().wrongOwner() + report.safety().cut(), is(0));
    }

    @Test
    void keyedRequestIsNotRunElsewhereWhileItsAuthorityIsFrozen() {
        String url = "http://127.0.0.1:" + callerPort + "/seats/k";
        Map<String, String> headers = Map.of("Idempotency-Key", "k", "X-Work-Id", "k");
        SmallFleet.Reply first = SmallFleet.send(url, "POST", headers);
        sendSignal("STOP");

        SmallFleet.Reply whileFrozen = SmallFleet.send(fleet, "dc-1-n1", "POST", "/seats/k", headers);
        sendSignal("CONT");
        OperatorClient operatorClient = new OperatorClient(fleet);
        operatorClient.await(
                "answer replayed after the freeze", () -> SmallFleet.send(fleet, "dc-1-n1", "POST", "/seats/k", headers)
                        .verdict()
                        .equals("ran"));

        assertThat(first.verdict(), is("ran"));
        assertThat(whileFrozen.verdict(), is("may-have-run"));
        int runs = fleet.runsByWorkId().getOrDefault("k", 0)
                + server.runsByWorkId().getOrDefault("k", 0);
        assertThat(runs, is(1));
    }

    @Test
    void resumedNodeAdoptsMissedOverridesAndCountsThePause() {
        OperatorClient operatorClient = new OperatorClient(fleet);
        sendSignal("STOP");
        operatorClient.addOverride("dc-1-n1", "while-frozen", "drain", "number=1");
        OperatorClient.sleep(3_000);
        sendSignal("CONT");

        operatorClient.await(
                "node serves again",
                () -> SmallFleet.send("http://127.0.0.1:" + operatorPort + "/health", "GET", Map.of())
                                .status()
                        == 200);
        operatorClient.await("override adopted", () -> SmallFleet.send(
                        "http://127.0.0.1:" + operatorPort + "/operator/overrides", "GET", Map.of())
                .body()
                .contains("while-frozen"));
        String metrics = SmallFleet.send("http://127.0.0.1:" + operatorPort + "/metrics", "GET", Map.of())
                .body();
        assertThat(metrics.contains("sardineshunt_pauses_total 0.0"), is(not(true)));
    }

    private boolean isReady() {
        return SmallFleet.send("http://127.0.0.1:" + operatorPort + "/health", "GET", Map.of())
                        .status()
                == 200;
    }

    private void sendSignal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(nodeProcess.pid()))
                    .start()
                    .waitFor(5, TimeUnit.SECONDS);
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private Process startNode() throws IOException {
        Path settings = directory.resolve("node.json");
        Files.writeString(settings, settings());
        Process process = new ProcessBuilder(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx128m",
                        "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.sardineshunt.node.NodeMain",
                        "run",
                        "--settings",
                        settings.toString()))
                .redirectError(directory.resolve("node.log").toFile())
                .start();
        BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        Matcher ports = PORTS.matcher(out.readLine());
        if (!ports.find()) {
            throw new IllegalStateException("the first line of the node does not name its ports");
        }
        callerPort = Integer.parseInt(ports.group(1));
        operatorPort = Integer.parseInt(ports.group(2));
        return process;
    }

    private String settings() {
        return """
                {
                  "nodeId": "frozen", "dataCentre": "dc-1", "region": "region",
                  "ports": {"host": "127.0.0.1", "caller": 0, "operator": 0, "peer": 0},
                  "seeds": ["127.0.0.1:%d"],
                  "platform": "http://127.0.0.1:%d",
                  "ranks": [{"name": "booking", "guaranteedShare": 0.2}, {"name": "status", "guaranteedShare": 0.1}],
                  "routes": [
                    {"method": "POST", "path": "/seats", "service": "seat-booking", "rank": "booking",
                     "idempotent": false, "keyRequired": true, "deadline": "3s"},
                    {"method": "GET", "path": "/seats", "service": "seat-booking", "rank": "status",
                     "idempotent": true, "keyRequired": false, "deadline": "1s"}
                  ],
                  "timing": {"probePeriod": "500ms", "probeTimeout": "150ms", "linkSilence": "900ms"}
                }
                """
                .formatted(fleet.node("dc-1-n1").peerPort(), fleet.platform().port());
    }
}
