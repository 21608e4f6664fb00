package org.sardineshunt.engine.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

class ServerConnectionTest {
    private static final CallerLimits LIMITS = new CallerLimits(4_096, 2_000, 3_000, 15_000);
    private static final int CONCURRENCY_LIMIT = 16;

    private final List<HttpExchange> started = new ArrayList<>();
    private final StringBuilder written = new StringBuilder();
    private final HttpServer server =
            new HttpServer(() -> LIMITS, request -> request.method().equals("GET"), started::add);
    private final EmbeddedChannel channel = openChannel();

    @Test
    void servesPipelinedIdempotentRequestsConcurrentlyAndAnswersThemInOrder() {
        receive(get(1) + get(2) + get(3) + get(4));
        assertThat(startedIds(), contains("1", "2", "3", "4"));
        respond(3);
        respond(1);
        respond(0);
        respond(2);
        assertThat(answeredIds(), contains("1", "2", "3", "4"));
    }

    @Test
    void startsANonIdempotentRequestOnlyAfterAllEarlierResponses() {
        receive(get(1) + post(2, 3) + get(3));
        assertThat(startedIds(), contains("1"));
        respond(0);
        assertThat(startedIds(), contains("1", "2"));
        respond(1);
        assertThat(startedIds(), contains("1", "2", "3"));
    }

    @Test
    void answersAMalformedRequestInItsPlace() {
        receive(get(1) + "nonsense\r\n\r\n");
        assertThat(written.toString(), is(""));
        respond(0);
        assertThat(statuses(), contains("200", "400"));
        assertThat(channel.isActive(), is(false));
    }

    @Test
    void answersATooLargeRequestInItsPlace() {
        receive(get(1) + post(2, LIMITS.bodyBytes() + 1));
        assertThat(written.toString(), is(""));
        respond(0);
        assertThat(statuses(), contains("200", "413"));
        assertThat(startedIds(), contains("1"));
    }

    @Test
    void stopsReadingBeyondTheLimitAndLosesNoRequest() {
        int requests = 200;
        IntStream.rangeClosed(1, requests).forEach(id -> receive(get(id)));
        assertThat(started, hasSize(CONCURRENCY_LIMIT));
        assertThat(channel.config().isAutoRead(), is(false));
        IntStream.range(0, requests).forEach(this::respond);
        assertThat(answeredIds(), hasSize(requests));
        assertThat(channel.config().isAutoRead(), is(true));
        assertThat(channel.isActive(), is(true));
    }

    @Test
    void answersRunningRequestsAndLeavesOthersUnreadWhenTheServerStops() {
        receive(get(1) + get(2) + post(3, 1) + get(4));
        server.closeAfterResponses();
        respond(1);
        respond(0);
        assertThat(answeredIds(), contains("1", "2"));
        assertThat(startedIds(), contains("1", "2"));
        assertThat(responseHeads().get(0).contains("connection: close"), is(false));
        assertThat(responseHeads().get(1), containsString("connection: close"));
        assertThat(channel.isActive(), is(false));
    }

    @Test
    void notifiesAllRequestsOfADisconnect() {
        List<String> disconnected = new ArrayList<>();
        receive(get(1) + get(2) + post(3, 1));
        started.forEach(exchange ->
                exchange.onDisconnect(() -> disconnected.add(exchange.request().target())));
        channel.runPendingTasks();
        channel.close();
        channel.runPendingTasks();
        assertThat(disconnected, contains("/1", "/2"));
        assertThat(startedIds(), contains("1", "2"));
    }

    @Test
    void sendsTheInterimResponseAfterEarlierResponses() {
        receive(get(1) + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n");
        assertThat(written.toString(), is(""));
        respond(0);
        assertThat(statuses(), contains("200", "100"));
        receive("x");
        respond(1);
        assertThat(answeredIds(), contains("1", "2"));
    }

    @Test
    void ignoresRequestsBehindOneThatClosesTheConnection() {
        receive("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get(2));
        respond(0);
        assertThat(startedIds(), contains("1"));
        assertThat(answeredIds(), contains("1"));
        assertThat(channel.isActive(), is(false));
    }

    /** Guards against heads that are never completed (issue of the header timeout, which was not enforced). */
    @Test
    void answersAnIncompleteHeadWithATimeout() {
        receive("GET /1 HTTP/1.1\r\nHost: h\r\n");
        advance(LIMITS.headerTimeoutMillis() + 1);
        assertThat(statuses(), contains("408"));
        assertThat(channel.isActive(), is(false));
    }

    @Test
    void answersAnIncompleteBodyWithATimeout() {
        receive("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx");
        advance(RequestRules.DEFAULT_BODY_TIMEOUT_MILLIS - 1_000);
        assertThat(statuses(), hasSize(0));
        advance(1_001);
        assertThat(statuses(), contains("408"));
        assertThat(started, hasSize(0));
    }

    @Test
    void keepsAConnectionWhoseHeadIsCompletedInTime() {
        receive("GET /1 HTTP/1.1\r\n");
        advance(LIMITS.headerTimeoutMillis() - 100);
        receive("Host: h\r\n\r\n");
        advance(LIMITS.headerTimeoutMillis());
        respond(0);
        assertThat(answeredIds(), contains("1"));
    }

    /** Guards against running out of memory because of bodies that stop before their end. */
    @Test
    void refusesTheLargestIncompleteBodyIfMemoryIsShort() {
        MemoryBudget memory = new MemoryBudget(100_000, (kind, bytes, idleMillis) -> {});
        ServerResources resources = new ServerResources(memory, 10, open -> {});
        CallerLimits limits = new CallerLimits(4_096, 1 << 20, 3_000, 15_000);
        HttpServer limited = new HttpServer(() -> limits, request -> false, resources, started::add);
        EmbeddedChannel large = open(limited);
        EmbeddedChannel small = open(limited);
        write(large, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + "x".repeat(70_000));
        write(small, post(2, 30_000));
        assertThat(output(large), startsWith("HTTP/1.1 503"));
        assertThat(startedIds(), contains("2"));
    }

    @Test
    void releasesTheMemoryOfAnsweredRequestsAndClosedConnections() {
        MemoryBudget memory = new MemoryBudget(1 << 20, (kind, bytes, idleMillis) -> {});
        ServerResources resources = new ServerResources(memory, 10, open -> {});
        HttpServer limited = new HttpServer(() -> LIMITS, request -> true, resources, started::add);
        EmbeddedChannel answered = open(limited);
        EmbeddedChannel closed = open(limited);
        write(answered, post(1, 1_000));
        write(closed, post(2, 1_000) + "POST /3 HTTP/1.1\r\nContent-Length: 1000\r\n\r\nx");
        write(closed, "xx");
        assertThat(memory.reservedBytes(), greaterThan(3_000L));
        started.get(0).respond(new HttpResponseData(200, List.of(), new byte[10]));
        answered.runPendingTasks();
        closed.close();
        closed.runPendingTasks();
        assertThat(memory.reservedBytes(), is(0L));
    }

    @Test
    void closesTheConnectionThatHasBeenIdleLongestAtTheLimit() {
        ServerResources resources = new ServerResources(MemoryBudget.unlimited(), 2, open -> {});
        HttpServer limited = new HttpServer(() -> LIMITS, request -> true, resources, started::add);
        EmbeddedChannel busy = open(limited);
        EmbeddedChannel idle = open(limited);
        write(busy, get(1));
        EmbeddedChannel next = open(limited);
        write(next, get(2));
        assertThat(idle.isActive(), is(false));
        assertThat(startedIds(), contains("1", "2"));
        assertThat(open(limited).isActive(), is(false));
        assertThat(busy.isActive(), is(true));
    }

    private static EmbeddedChannel open(HttpServer opener) {
        EmbeddedChannel opened = new EmbeddedChannel();
        opener.accept(opened);
        return opened;
    }

    private static void write(EmbeddedChannel to, String bytes) {
        to.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    private static String output(EmbeddedChannel from) {
        ByteBuf bytes = from.readOutbound();
        return bytes == null ? "" : bytes.toString(StandardCharsets.ISO_8859_1);
    }

    private void advance(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        readWritten();
    }

    /** Random arrivals, sizes, errors, responses and stops: each started request gets its own answer, in order. */
    @Property(tries = 400, seed = "4711")
    void answersEachStartedRequestOnceAndInOrder(@ForAll long seed) {
        ServerConnectionTest connection = new ServerConnectionTest();
        connection.playRandomly(new Random(seed));
    }

    private void playRandomly(Random random) {
        List<Integer> pending = new ArrayList<>();
        int lastId = 0;
        for (int step = 0; step < 80; step++) {
            int choice = random.nextInt(100);
            if (choice < 50) {
                lastId = receiveRandomly(random, lastId);
            } else if (choice < 52) {
                receive(random.nextBoolean() ? "nonsense\r\n\r\n" : post(0, LIMITS.bodyBytes() + 1));
            } else if (choice < 53) {
                server.closeAfterResponses();
            } else {
                respondRandomly(random, pending);
            }
            assertThat(unansweredStarted(pending), lessThanOrEqualTo(CONCURRENCY_LIMIT));
        }
        while (unansweredStarted(pending) > 0) {
            respondRandomly(random, pending);
        }
        List<String> answered = answeredIds();
        assertThat(answered, is(startedIds().subList(0, answered.size())));
        assertThat(answered, hasSize(started.size()));
        assertThat(
                responseHeads().stream()
                        .limit(Math.max(0, responseHeads().size() - 1))
                        .toList(),
                everyItem(startsWith("HTTP/1.1 200")));
    }

    private int receiveRandomly(Random random, int lastId) {
        int burst = 1 + random.nextInt(5);
        StringBuilder bytes = new StringBuilder();
        IntStream.rangeClosed(lastId + 1, lastId + burst)
                .forEach(id -> bytes.append(random.nextInt(4) == 0 ? post(id, random.nextInt(300)) : get(id)));
        int cut = random.nextInt(bytes.length());
        receive(bytes.substring(0, cut));
        receive(bytes.substring(cut));
        return lastId + burst;
    }

    private void respondRandomly(Random random, List<Integer> responded) {
        List<Integer> candidates = IntStream.range(0, started.size())
                .filter(index -> !responded.contains(index))
                .boxed()
                .toList();
        if (!candidates.isEmpty()) {
            int index = candidates.get(random.nextInt(candidates.size()));
            boolean alone = started.get(index).request().method().equals("GET") || candidates.size() == 1;
            assertThat("a request that isn't idempotent runs alone", alone, is(true));
            responded.add(index);
            respond(index);
        }
    }

    private int unansweredStarted(List<Integer> responded) {
        return started.size() - responded.size();
    }

    private EmbeddedChannel openChannel() {
        EmbeddedChannel opened = new EmbeddedChannel();
        server.accept(opened);
        return opened;
    }

    private void receive(String bytes) {
        if (channel.isActive()) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
            readWritten();
        }
    }

    private void respond(int index) {
        String id = started.get(index).request().target().substring(1);
        started.get(index)
                .respond(new HttpResponseData(
                        200, List.of(new HttpHeader("id", id)), id.getBytes(StandardCharsets.UTF_8)));
        channel.runPendingTasks();
        readWritten();
    }

    private void readWritten() {
        for (ByteBuf bytes = channel.readOutbound(); bytes != null; bytes = channel.readOutbound()) {
            written.append(bytes.toString(StandardCharsets.ISO_8859_1));
            bytes.release();
        }
    }

    private List<String> startedIds() {
        return started.stream()
                .map(exchange -> exchange.request().target().substring(1))
                .toList();
    }

    private List<String> responseHeads() {
        return List.of(written.toString().split("(?=HTTP/1\\.1 )")).stream()
                .filter(response -> !response.isEmpty())
                .toList();
    }

    private List<String> statuses() {
        return responseHeads().stream()
                .map(response -> response.substring(9, 12))
                .toList();
    }

    private List<String> answeredIds() {
        return responseHeads().stream()
                .filter(response -> response.contains("\r\nid: "))
                .map(response -> response.replaceAll("(?s).*\r\nid: (\\d+)\r\n.*", "$1"))
                .toList();
    }

    private static String get(int id) {
        return "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String post(int id, int bodyBytes) {
        return "POST /" + id + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n"
                + "x".repeat(bodyBytes);
    }
}
