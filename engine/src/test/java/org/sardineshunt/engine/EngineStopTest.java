package org.sardineshunt.engine;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

class EngineStopTest {
    private static final int SLOTS = 4;
    private static final int WAITING = 3;

    private final EngineFleet fleet = new EngineFleet(1);
    private final List<Caller> callers = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        for (Caller caller : callers) {
            caller.socket.close();
        }
        fleet.close();
    }

    /** Each request that a stopping node has read gets its answer, unless it was pipelined and not started. */
    @Test
    void answersAllThatItHasStartedWhenItStops() throws Exception {
        fleet.upstream(0).setHandler(exchange -> {});
        List<Caller> running = connect(SLOTS);
        for (Caller caller : running) {
            caller.send("POST", EngineFleet.BOOKING_PATH);
        }
        Await.until("all slots are taken", () -> fleet.receivedRequestCount() == SLOTS);
        running.get(0).send("POST", EngineFleet.BOOKING_PATH);
        List<Caller> waiting = connect(WAITING);
        for (Caller caller : waiting) {
            caller.send("POST", EngineFleet.BOOKING_PATH);
        }
        Await.until(
                "the others wait",
                () -> fleet.logLines().stream()
                                .filter(line -> line.contains("attempt-sent") && line.contains("stop-"))
                                .count()
                        == SLOTS + WAITING);
        Caller idle = connect(1).get(0);

        CompletableFuture<Void> stopped = fleet.engine(0).stop();
        Await.until("the stop has begun", () -> fleet.logLines().stream().anyMatch(line -> line.contains("stopping")));
        idle.send("GET", EngineFleet.LOOKUP_PATH);
        assertThat(idle.readStatuses(), contains(503));
        for (Caller caller : waiting) {
            assertThat(caller.readStatuses(), contains(503));
        }
        fleet.upstream(0).receivedRequests().forEach(fleet.upstream(0)::succeed);

        for (Caller caller : running) {
            assertThat(caller.readStatuses(), contains(200));
        }
        stopped.join();
        assertThat("the pipelined booking was not started", fleet.receivedRequestCount(), is(SLOTS));
        assertThat(
                callers.stream().map(caller -> caller.received.toString()).toList(),
                everyItem(org.hamcrest.Matchers.containsString("connection: close")));
    }

    /** Guards against a process that ignores SIGTERM for good because the signal came before the start had ended. */
    @Test
    void stopsBeforeItHasStarted() throws Exception {
        Engine engine = fleet.createEngine(0);
        try {
            engine.stop().get(10, TimeUnit.SECONDS);
        } finally {
            engine.kill();
        }
    }

    private List<Caller> connect(int count) throws IOException {
        List<Caller> connected = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            connected.add(new Caller(new Socket("127.0.0.1", fleet.callerPort(0)), "stop-" + callers.size()));
            callers.add(connected.get(index));
        }
        return connected;
    }

    /** A caller with one connection. */
    private static final class Caller {
        private final Socket socket;
        private final String name;
        private final StringBuilder received = new StringBuilder();
        private int sent;

        private Caller(Socket socket, String name) {
            this.socket = socket;
            this.name = name;
        }

        private void send(String method, String path) throws IOException {
            String request = method + ' ' + path + "x HTTP/1.1\r\nHost: h\r\nX-Request: " + name + '-' + ++sent
                    + "\r\nX-Left: 4000\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        }

        /** Reads until the node closes the connection and returns the statuses of the complete responses. */
        private List<Integer> readStatuses() throws IOException {
            received.append(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1));
            return List.of(received.toString().split("(?=HTTP/1\\.1 )")).stream()
                    .filter(response -> response.contains("\r\n\r\n"))
                    .map(response -> Integer.valueOf(response.substring(9, 12)))
                    .toList();
        }
    }
}
