package org.sardineshunt.engine;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.engine.http.BodyPipe;
import org.sardineshunt.engine.http.HttpExchange;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.StreamedBody;
import org.sardineshunt.engine.http.StreamedResponse;
import org.sardineshunt.engine.protocol.EngineMessages.NodeRecord;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

/** Bodies and responses that pass through, at the home beside the entry (one node) and over a link (two nodes). */
class EngineStreamingTest {
    private static final String NODES_TABLE = "sardineshunt-nodes";
    private static final byte[] PART = new byte[128 << 10];
    private static final int PARTS = 64;
    private static final long BODY_BYTES = (long) PARTS * PART.length;

    private EngineFleet fleet;

    @AfterEach
    void close() {
        fleet.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void passesALongBodyOn(int nodes) throws IOException {
        AtomicLong received = new AtomicLong();
        start(nodes, exchange -> receive(exchange, received, () -> upstream().succeed(exchange)));
        try (StreamingCaller caller = caller()) {
            caller.sendHead("POST", EngineFleet.BOOKING_PATH, "Content-Length: " + BODY_BYTES + "\r\n");
            for (int part = 0; part < PARTS; part++) {
                caller.send(PART);
            }
            assertThat(caller.readHead(), startsWith("HTTP/1.1 200"));
        }
        assertThat(received.get(), is(BODY_BYTES));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void passesALongChunkedBodyOnAndKeepsTheConnection(int nodes) throws IOException {
        AtomicLong received = new AtomicLong();
        start(nodes, exchange -> receive(exchange, received, () -> upstream().succeed(exchange)));
        try (StreamingCaller caller = caller()) {
            for (int request = 0; request < 2; request++) {
                caller.sendHead("POST", EngineFleet.BOOKING_PATH, "Transfer-Encoding: chunked\r\n");
                for (int part = 0; part < PARTS; part++) {
                    caller.sendChunk(PART);
                }
                caller.sendChunk(new byte[0]);
                String head = caller.readHead();
                assertThat(head, startsWith("HTTP/1.1 200"));
                caller.readBody(contentLength(head));
            }
        }
        assertThat(received.get(), is(2 * BODY_BYTES));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void passesALongResponseOn(int nodes) throws IOException {
        start(nodes, exchange -> respond(exchange, BODY_BYTES, PARTS, true));
        try (StreamingCaller caller = caller()) {
            for (int request = 0; request < 2; request++) {
                caller.sendHead("GET", EngineFleet.LOOKUP_PATH, "");
                String head = caller.readHead();
                assertThat(contentLength(head), is(BODY_BYTES));
                assertThat(caller.readBody(BODY_BYTES), is(BODY_BYTES));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void passesALongChunkedResponseOn(int nodes) throws IOException {
        start(nodes, exchange -> respond(exchange, StreamedBody.UNKNOWN_LENGTH, PARTS, true));
        try (StreamingCaller caller = caller()) {
            caller.sendHead("GET", EngineFleet.LOOKUP_PATH, "");
            assertThat(caller.readHead(), containsString("chunked"));
            assertThat(caller.readChunkedBody(), is(BODY_BYTES));
        }
    }

    /** Guards against a truncated response that looks complete. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void closesTheConnectionIfAResponseIsInterrupted(int nodes) throws IOException {
        start(nodes, exchange -> respond(exchange, BODY_BYTES, PARTS / 2, false));
        try (StreamingCaller caller = caller()) {
            caller.sendHead("GET", EngineFleet.LOOKUP_PATH, "");
            assertThat(contentLength(caller.readHead()), is(BODY_BYTES));
            assertThat(caller.readBody(BODY_BYTES), lessThan(BODY_BYTES));
        }
        start(nodes, exchange -> respond(exchange, StreamedBody.UNKNOWN_LENGTH, PARTS / 2, false));
        try (StreamingCaller caller = caller()) {
            caller.sendHead("GET", EngineFleet.LOOKUP_PATH, "");
            caller.readHead();
            assertThat(caller.readChunkedBody(), is(-1L));
        }
    }

    /** Guards against the rest of a body that is taken for another request. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void passesAnEarlyResponseOnAndClosesBothConnections(int nodes) throws IOException {
        start(nodes, exchange -> upstream().respond(exchange, 403, new HttpHeader("X-Signature", "signed")));
        try (StreamingCaller caller = caller()) {
            caller.sendHead("POST", EngineFleet.BOOKING_PATH, "Content-Length: " + BODY_BYTES + "\r\n");
            caller.send(PART);
            String head = caller.readHead();
            assertThat(head, startsWith("HTTP/1.1 403"));
            assertThat(head, containsString("connection: close"));
            assertThat(caller.readBody(BODY_BYTES), is(contentLength(head)));
        }
        assertThat(fleet.receivedRequestCount(), is(1));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void closesTheUpstreamsConnectionIfTheCallerLeaves(int nodes) throws IOException {
        AtomicLong received = new AtomicLong();
        start(nodes, exchange -> receive(exchange, received, () -> {}));
        try (StreamingCaller caller = caller()) {
            caller.sendHead("POST", EngineFleet.BOOKING_PATH, "Content-Length: " + BODY_BYTES + "\r\n");
            caller.send(PART);
            Await.until("the upstream has received a part", () -> received.get() > 0);
        }
        Await.until("the upstream's connection is closed", () -> upstream().disconnects() == 1);
    }

    /** A slow reader must not make the nodes buffer a response, nor delay others on the same link. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void stopsReadingTheResponseOfASlowCaller(int nodes) throws IOException {
        AtomicLong sent = new AtomicLong();
        start(nodes, exchange -> {
            if (exchange.request().method().equals("GET")) {
                stream(exchange, sent);
            } else {
                upstream().succeed(exchange);
            }
        });
        try (StreamingCaller caller = caller()) {
            caller.sendHead("GET", EngineFleet.LOOKUP_PATH, "");
            caller.readHead();
            Await.until("the upstream has stopped sending", () -> {
                long before = sent.get();
                return before > 0
                        && fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH) == 200
                        && sent.get() == before;
            });
            assertThat(sent.get(), greaterThan(1L << 20));
            assertThat(sent.get(), lessThan(64L << 20));
        }
    }

    /** Guards against a stream that is sent to a node of the previous build, which would run it without its body. */
    @Test
    void refusesALongBodyIfOnlyNodesOfThePreviousBuildServeIt() throws Exception {
        start(2, exchange -> upstream().succeed(exchange));
        NodeRecord row = NodeRecord.parseFrom(fleet.table().value(NODES_TABLE, "node-1"));
        fleet.engine(1).kill();
        NodeRecord previousBuild = row.toBuilder()
                .clearProtocolLevel()
                .setIncarnation(row.getIncarnation() + 1)
                .build();
        fleet.table().put(NODES_TABLE, "node-1", previousBuild.toByteArray());
        Await.until("the row was read", () -> fleet.logLines().stream()
                .anyMatch(line -> line.contains("node-known")
                        && line.contains("\"startedAt\":" + previousBuild.getIncarnation() + ',')));
        try (StreamingCaller caller = caller()) {
            caller.sendHead("POST", EngineFleet.BOOKING_PATH, "Content-Length: " + BODY_BYTES + "\r\n");
            caller.send(PART);
            assertThat(caller.readHead(), startsWith("HTTP/1.1 503"));
        }
        assertThat(
                fleet.logLines().stream()
                        .anyMatch(line -> line.contains("attempt-sent") && line.contains("\"streamed\"")),
                is(false));
    }

    private FakeUpstream upstream() {
        return fleet.upstream(fleet.size() - 1);
    }

    private StreamingCaller caller() throws IOException {
        return new StreamingCaller(fleet.callerPort(0));
    }

    // With two nodes, only the upstream of the second one takes work.
    private void start(int nodes, Consumer<HttpExchange> handler) {
        if (fleet == null) {
            fleet = new EngineFleet(nodes);
            if (nodes == 2) {
                fleet.engine(0).announce(EngineFleet.announcement(0, 2, Phase.DRAINING), () -> {});
                Await.until("the first upstream drains", () -> fleet.logLines().stream()
                        .anyMatch(line -> line.contains("DRAINING")));
            }
        }
        upstream().setHandler(handler);
    }

    private static void receive(HttpExchange exchange, AtomicLong received, Runnable onComplete) {
        received.addAndGet(exchange.request().body().length);
        BodyPipe pipe = exchange.streamedBody().orElseThrow().pipe();
        pipe.attach(() -> {
            for (byte[] part = pipe.read(); part != null; part = pipe.read()) {
                received.addAndGet(part.length);
            }
            if (pipe.isReadToEnd()) {
                onComplete.run();
            }
        });
    }

    private static void respond(HttpExchange exchange, long length, int parts, boolean complete) {
        BodyPipe[] pipe = new BodyPipe[1];
        AtomicLong unread = new AtomicLong((long) parts * PART.length);
        pipe[0] = openResponse(exchange, length, bytes -> {
            if (unread.addAndGet(-bytes) == 0 && !complete) {
                pipe[0].fail("interrupted by the test");
            }
        });
        for (int part = 0; part < parts; part++) {
            pipe[0].write(PART);
        }
        if (complete) {
            pipe[0].end();
        }
    }

    // Sends parts without end, as fast as they are taken.
    private static void stream(HttpExchange exchange, AtomicLong sent) {
        BodyPipe[] pipe = new BodyPipe[1];
        Runnable fill = () -> {
            while (pipe[0] != null && pipe[0].hasRoom() && !pipe[0].isCancelled()) {
                sent.addAndGet(PART.length);
                pipe[0].write(PART);
            }
        };
        pipe[0] = openResponse(exchange, StreamedBody.UNKNOWN_LENGTH, bytes -> fill.run());
        fill.run();
    }

    private static BodyPipe openResponse(HttpExchange exchange, long length, IntConsumer onConsumed) {
        BodyPipe pipe = new BodyPipe(MemoryBudget.unlimited(), new BodyPipe.Source() {
            @Override
            public void consumed(int bytes) {
                onConsumed.accept(bytes);
            }

            @Override
            public void cancelled() {}
        });
        List<HttpHeader> headers = List.of(
                new HttpHeader(
                        "X-Request", exchange.request().header("X-Request").orElse("")),
                new HttpHeader("X-Signature", "signed"));
        exchange.respondStreamed(new StreamedResponse(200, headers, new StreamedBody(pipe, length)));
        return pipe;
    }

    private static long contentLength(String head) {
        return Optional.of(head.toLowerCase(java.util.Locale.ROOT))
                .filter(text -> text.contains("content-length: "))
                .map(text -> text.replaceAll("(?s).*content-length: (\\d+).*", "$1"))
                .map(Long::parseLong)
                .orElse(-1L);
    }
}
