package org.sardineshunt.engine;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpOutcome;
import org.sardineshunt.engine.http.HttpResponseData;
import org.sardineshunt.engine.protocol.EngineMessages.NodeRecord;
import org.sardineshunt.engine.protocol.EngineMessages.UpstreamRecord;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class EngineOddInputTest {
    private static final String TABLE = "sardineshunt-nodes";
    private static final int NODES = 2;

    private final EngineFleet fleet = new EngineFleet(NODES);

    @AfterEach
    void close() {
        fleet.close();
    }

    /**
     * Guards against odd rows of another writer: a port out of range made each report to the other nodes fail, and an
     * exception in the handling of rows ended the watch of the table.
     */
    @Test
    void followsTheTableAndServesBesideOddRows() {
        List<NodeRecord> oddRows = List.of(
                record("odd-port", "127.0.0.1", 70_000, 0, 4),
                record("negative-port", "127.0.0.1", -1, 0, 4),
                record("no-port", "127.0.0.1", 0, 0, 4),
                record("no-host", "", 4_000, 0, 4),
                record("name", "host.example", 4_000, 0, 4),
                record("long-host", "1".repeat(60_000), 4_000, 0, 4),
                record("odd-phase", "127.0.0.1", 9, 77, 4),
                record("no-slots", "127.0.0.1", 9, 0, 0),
                record("negative-slots", "127.0.0.1", 9, 0, -5));
        oddRows.forEach(row -> fleet.table().put(TABLE, row.getNodeId(), row.toByteArray()));
        fleet.table().put(TABLE, "other-key", oddRows.get(0).toByteArray());
        Random random = new Random(7);
        IntStream.range(0, 50).forEach(index -> {
            byte[] bytes = new byte[random.nextInt(200)];
            random.nextBytes(bytes);
            fleet.table().put(TABLE, "random-" + index, bytes);
        });

        fleet.engine(1).announce(EngineFleet.announcement(1, 2, Phase.DRAINING), () -> {});

        Await.until("node-0 learned of a change behind the odd rows", () -> fleet.logLines().stream()
                .filter(line -> line.contains("\"node\":\"node-0\"") && line.contains("node-known"))
                .anyMatch(line -> line.contains("\"peer\":\"node-1\"") && line.contains("DRAINING")));
        List<Integer> statuses = IntStream.range(0, 6)
                .map(request -> fleet.sendAndGetStatus(1, "POST", EngineFleet.BOOKING_PATH))
                .boxed()
                .toList();
        assertThat(statuses, is(List.of(200, 200, 200, 200, 200, 200)));
        assertThat(
                fleet.logLines().stream()
                        .filter(line -> line.contains("internal-error"))
                        .toList(),
                is(empty()));
    }

    /** These statuses promise that a request has not run, which the upstream's response doesn't say without a mark. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void passesOnNoStatusThatPromisesMoreThanTheUpstreamSays(int status) {
        IntStream.range(0, NODES).forEach(index -> fleet.upstream(index).setHandler(exchange -> fleet.upstream(index)
                .respond(exchange, status, new HttpHeader("X-Signature", "signed"))));

        HttpResponseData booking = send("POST", EngineFleet.BOOKING_PATH);
        HttpResponseData lookup = send("GET", EngineFleet.LOOKUP_PATH);

        assertThat(booking.status(), is(502));
        assertThat(booking.header("X-Signature").isPresent(), is(false));
        assertThat(lookup.status(), is(502));
        assertThat(lookup.header("X-Signature").isPresent(), is(false));
    }

    /**
     * Guards against passing on a garbled status (MIXED), which only callers at the home's own node received, and
     * against closing the link to a home because of it.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 2, 20, 99, 600, 999, 2_000})
    void treatsAnUnknownStatusAsAFaultOfTheUpstream(int status) {
        IntStream.range(0, NODES).forEach(index -> fleet.upstream(index).setHandler(exchange -> fleet.upstream(index)
                .respond(exchange, status, new HttpHeader("X-Signature", "signed"))));
        List<Integer> statuses = IntStream.range(0, 6)
                .map(request -> send("POST", EngineFleet.BOOKING_PATH).status())
                .boxed()
                .toList();
        assertThat(statuses, is(List.of(502, 502, 502, 502, 502, 502)));
        assertThat(
                fleet.logLines().stream()
                        .filter(line -> line.contains("peer-lost"))
                        .toList(),
                is(empty()));
    }

    /** The same for answers that are long enough to be streamed, and for answers without a body. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "HEAD"})
    void passesOnNoLongAnswerWithAnUnknownStatus(String method) {
        IntStream.range(0, NODES).forEach(index -> fleet.upstream(index)
                .setHandler(exchange -> exchange.respond(new HttpResponseData(
                        600,
                        List.of(
                                new HttpHeader(
                                        "X-Request",
                                        exchange.request().header("X-Request").orElse("")),
                                new HttpHeader("X-Signature", "signed")),
                        new byte[1 << 20]))));
        List<Integer> statuses = IntStream.range(0, 6)
                .map(request -> send(method, EngineFleet.LOOKUP_PATH).status())
                .boxed()
                .distinct()
                .toList();
        assertThat(statuses, is(List.of(502)));
    }

    @Test
    void repeatsABookingWhoseMarkedResponseSaysThatItHasNotRun() {
        fleet.upstream(0)
                .setHandler(exchange -> fleet.upstream(0).respond(exchange, 503, new HttpHeader("X-Not-Run", "1")));
        List<Integer> statuses = IntStream.range(0, 6)
                .map(request -> fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH))
                .boxed()
                .toList();
        assertThat(statuses, is(List.of(200, 200, 200, 200, 200, 200)));
    }

    /**
     * Guards against a false not-run (REFUSED) and a second run (TWICE): a refusal without the ID of the request may be
     * that of an earlier one, while the upstream runs this one.
     */
    @ParameterizedTest
    @ValueSource(ints = {400, 421, 429, 503})
    void takesARefusalWithoutTheRequestIdForNoProof(int status) {
        IntStream.range(0, NODES).forEach(index -> fleet.upstream(index)
                .setHandler(exchange -> exchange.respond(
                        new HttpResponseData(status, List.of(new HttpHeader("X-Not-Run", "1")), new byte[0]))));
        List<Integer> statuses = IntStream.range(0, 6)
                .map(request -> send("POST", EngineFleet.BOOKING_PATH).status())
                .boxed()
                .toList();
        assertThat(statuses, is(List.of(502, 502, 502, 502, 502, 502)));
        assertThat("each booking was sent once", fleet.receivedRequestCount(), is(6));
    }

    private HttpResponseData send(String method, String path) {
        HttpOutcome outcome = fleet.send(0, method, path, 4_000).outcome().join();
        return ((HttpOutcome.Responded) outcome).response();
    }

    private static NodeRecord record(String nodeId, String host, int port, int phase, int slots) {
        return NodeRecord.newBuilder()
                .setNodeId(nodeId)
                .setIncarnation(1)
                .setHost(host)
                .setPort(port)
                .setDataCentre("dc-1")
                .setUpstream(UpstreamRecord.newBuilder()
                        .setId("upstream of " + nodeId)
                        .setService("service")
                        .setBorn(1)
                        .setSequence(1)
                        .setPhase(phase)
                        .setSlots(slots))
                .build();
    }
}
