package org.sardineshunt.engine;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.engine.http.HttpExchange;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpOutcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

class EngineTest {
    private static final int NODES = 3;

    private final EngineFleet fleet = new EngineFleet(NODES);

    @AfterEach
    void close() {
        fleet.close();
        // An exception on the control thread is only logged, and the caller gets no response.
        assertThat(
                fleet.logLines().stream()
                        .filter(line -> line.contains("internal-error"))
                        .toList(),
                is(List.of()));
    }

    @Test
    void forwardsTheRequestAndReplacesReservedHeaders() {
        assertThat(fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH), is(200));
        HttpExchange received = receivedRequests().get(0);
        assertThat(received.request().method(), is("POST"));
        assertThat(received.request().target(), is("/booking/x?q=1"));
        assertThat(headerValues(received, "X-Caller"), is(List.of("service")));
        assertThat(headerValues(received, "X-Expected").size(), is(1));
        assertThat(headerValues(received, "X-Expected").get(0), not("forged"));
        assertThat(Integer.parseInt(headerValues(received, "X-Left").get(0)), lessThanOrEqualTo(4_000));
    }

    @Test
    void respondsNotFoundForAnUnknownRouteWithoutReachingAnUpstream() {
        assertThat(fleet.sendAndGetStatus(0, "GET", "/unknown/"), is(404));
        assertThat(fleet.receivedRequestCount(), is(0));
    }

    @Test
    void retriesAFailedIdempotentRequest() {
        AtomicInteger failures = new AtomicInteger();
        setHandlers(index -> exchange -> {
            if (failures.incrementAndGet() == 1) {
                fleet.upstream(index).fail(exchange);
            } else {
                fleet.upstream(index).succeed(exchange);
            }
        });
        assertThat(fleet.sendAndGetStatus(0, "GET", EngineFleet.LOOKUP_PATH), is(200));
        assertThat(fleet.receivedRequestCount(), is(2));
    }

    /** The booking ran, so a retry could book twice. */
    @Test
    void doesNotRetryAFailedNonIdempotentRequest() {
        setHandlers(index -> exchange -> fleet.upstream(index).fail(exchange));
        assertThat(fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH), is(500));
        assertThat(fleet.receivedRequestCount(), is(1));
    }

    @Test
    void retriesANonIdempotentRequestThatProvablyDidNotRun() {
        AtomicInteger refusals = new AtomicInteger();
        setHandlers(index -> exchange -> {
            if (refusals.incrementAndGet() == 1) {
                fleet.upstream(index).respond(exchange, 503, new HttpHeader("X-Not-Run", "1"));
            } else {
                fleet.upstream(index).succeed(exchange);
            }
        });
        assertThat(fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH), is(200));
    }

    /** An unsigned success does not come from the upstream, and the booking may have run there all the same. */
    @Test
    void respondsBadGatewayToASuccessWithoutSignature() {
        setHandlers(index -> exchange -> fleet.upstream(index).respond(exchange, 200, new HttpHeader("X-Other", "")));
        assertThat(fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH), is(502));
    }

    @Test
    void cancelsTheUpstreamCallWhenTheCallerDisconnects() {
        setHandlers(index -> exchange -> {});
        EngineFleet.SentRequest sent = fleet.send(0, "GET", EngineFleet.LOOKUP_PATH, 4_000);
        Await.until("the request arrived", () -> fleet.receivedRequestCount() == 1);
        sent.call().cancel();
        Await.until(
                "the upstream's connection was closed",
                () -> IntStream.range(0, NODES)
                                .map(index -> fleet.upstream(index).disconnects())
                                .sum()
                        == 1);
    }

    @Test
    void respondsGatewayTimeoutAfterTheTimeoutOfTheRoute() {
        IntStream.range(0, NODES).forEach(index -> fleet.engine(index).configure(EngineFleet.configuration(2, 200)));
        Await.until("the new configuration is in force", () -> IntStream.range(0, NODES)
                .allMatch(index ->
                        fleet.engine(index).configuration().orElseThrow().version() == 2));
        setHandlers(index -> exchange -> {});
        assertThat(fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH), is(504));
    }

    @Test
    void ignoresAnOlderConfiguration() {
        fleet.engine(0).configure(EngineFleet.configuration(5, 4_000));
        fleet.engine(0).configure(EngineFleet.configuration(4, 4_000));
        AtomicBoolean done = new AtomicBoolean();
        fleet.engine(0).control().execute(() -> done.set(true));
        Await.until("both configurations were processed", done::get);
        assertThat(fleet.engine(0).configuration().orElseThrow().version(), is(5L));
    }

    @Test
    void sendsNothingToALeavingUpstreamAfterTheAcknowledgement() {
        leaveAndAwaitAcknowledgement(1);
        IntStream.range(0, 12)
                .forEach(request -> fleet.sendAndGetStatus(request % NODES, "GET", EngineFleet.LOOKUP_PATH));
        assertThat(fleet.upstream(1).receivedRequests().size(), is(0));
    }

    /** A delayed announcement must not bring a leaving upstream back, not even at a node that has restarted since. */
    @Test
    void remembersAnAcknowledgedLeaveAfterARestartOfTheNode() {
        leaveAndAwaitAcknowledgement(1);
        Engine restarted = fleet.restart(1);
        restarted.configure(EngineFleet.configuration(1, 4_000));
        Await.until("the restarted node is ready", restarted::isReady);
        AtomicBoolean acknowledged = new AtomicBoolean();
        restarted.announce(EngineFleet.announcement(1, 1, Phase.READY), () -> acknowledged.set(true));
        Await.until("the late announcement was acknowledged", acknowledged::get);
        IntStream.range(0, 12)
                .forEach(request -> fleet.sendAndGetStatus(request % NODES, "GET", EngineFleet.LOOKUP_PATH));
        assertThat(fleet.upstream(1).receivedRequests().size(), is(0));
    }

    /** After a restart of the node alone its upstream still runs and is known from the row of the node. */
    @Test
    void sendsToTheUpstreamAfterARestartOfTheNodeBeforeAnAnnouncement() {
        Engine restarted = fleet.restart(1);
        restarted.configure(EngineFleet.configuration(1, 4_000));
        Await.until("the restarted node is ready", restarted::isReady);
        Await.until(
                "its upstream receives requests",
                () -> fleet.sendAndGetStatus(1, "GET", EngineFleet.LOOKUP_PATH) == 200
                        && !fleet.upstream(1).receivedRequests().isEmpty());
    }

    @Test
    void servesRequestsWhileTheTableIsDown() {
        fleet.table().setDown(true);
        assertThat(
                IntStream.range(0, 9)
                        .map(request -> fleet.sendAndGetStatus(request % NODES, "POST", EngineFleet.BOOKING_PATH))
                        .boxed()
                        .toList(),
                is(List.of(200, 200, 200, 200, 200, 200, 200, 200, 200)));
    }

    @Test
    void acknowledgesALeaveWhileTheTableIsDown() {
        fleet.table().setDown(true);
        leaveAndAwaitAcknowledgement(1);
        IntStream.range(0, 12)
                .forEach(request -> fleet.sendAndGetStatus(request % NODES, "GET", EngineFleet.LOOKUP_PATH));
        assertThat(fleet.upstream(1).receivedRequests().size(), is(0));
    }

    /** An upstream in gray failure fails requests at once, so its queue must go elsewhere instead of failing there. */
    @Test
    void refusesTheQueueOfAnUpstreamThatFailsFast() {
        setHandlers(index -> exchange -> {});
        List<EngineFleet.SentRequest> sent = IntStream.range(0, 36)
                .mapToObj(request -> fleet.send(0, "POST", EngineFleet.BOOKING_PATH, 4_000))
                .toList();
        Await.until("all slots are taken", () -> fleet.receivedRequestCount() == 12);
        FakeUpstream failing = fleet.upstream(0);
        failing.setHandler(failing::fail);
        List.copyOf(failing.receivedRequests()).forEach(failing::fail);
        IntStream.range(1, NODES).forEach(index -> {
            FakeUpstream healthy = fleet.upstream(index);
            healthy.setHandler(healthy::succeed);
            List.copyOf(healthy.receivedRequests()).forEach(healthy::succeed);
        });
        sent.forEach(request -> request.outcome().join());
        List<String> failingHomeLines = fleet.logLines().stream()
                .filter(line -> line.contains("\"node\":\"node-0\""))
                .toList();
        int ejectionIndex = IntStream.range(0, failingHomeLines.size())
                .filter(index -> failingHomeLines.get(index).contains("\"after\":\"UNHEALTHY\""))
                .findFirst()
                .orElseThrow();
        long failedAfterwards = failingHomeLines.stream()
                .skip(ejectionIndex)
                .filter(line -> line.contains("attempt-failed"))
                .count();
        // Only the requests that were running at the ejection may fail after it.
        assertThat(failedAfterwards, lessThanOrEqualTo(4L));
    }

    @Test
    void finishesRequestsInFlightBeforeStopping() {
        setHandlers(index -> exchange -> {});
        List<EngineFleet.SentRequest> sent = IntStream.range(0, 6)
                .mapToObj(request -> fleet.send(0, "POST", EngineFleet.BOOKING_PATH, 4_000))
                .toList();
        Await.until("all requests arrived", () -> fleet.receivedRequestCount() == 6);
        var stopped = fleet.engine(0).stop();
        IntStream.range(0, NODES)
                .forEach(index -> fleet.upstream(index).receivedRequests().forEach(fleet.upstream(index)::succeed));
        assertThat(
                sent.stream().map(request -> status(request.outcome().join())).toList(),
                is(List.of(200, 200, 200, 200, 200, 200)));
        stopped.join();
    }

    /** Guards against closing a connection whose request still waits for its response when the process ends. */
    @Test
    void respondsToWaitingRequestsBeforeStopping() {
        setHandlers(index -> exchange -> {});
        fleet.engine(0).configure(EngineFleet.configuration(2, 9_000));
        Await.until(
                "the longer timeout is in force",
                () -> fleet.engine(0).configuration().orElseThrow().version() == 2);
        EngineFleet.SentRequest sent = fleet.send(0, "POST", EngineFleet.BOOKING_PATH, 9_000);
        Await.until("the request arrived", () -> fleet.receivedRequestCount() == 1);
        fleet.engine(0).stop();
        assertThat(status(sent.outcome().join()), is(504));
    }

    @Test
    void sendsEachNonIdempotentRequestOnceAfterAHomeIsLost() {
        fleet.engine(1).kill();
        // A booking that is sent before the loss of the link is noticed may have run, so it fails instead.
        awaitLostPeer("node-0", "node-1");
        IntStream.range(0, NODES)
                .forEach(index -> fleet.upstream(index).receivedRequests().clear());
        List<Integer> statuses = IntStream.range(0, 8)
                .map(request -> fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH))
                .boxed()
                .toList();
        assertThat(statuses, is(List.of(200, 200, 200, 200, 200, 200, 200, 200)));
        assertThat(fleet.receivedRequestCount(), is(8));
    }

    /**
     * Guards against probing a lost home with requests: each lookup that was sent to an instance that was gone for good
     * lost 600 ms until the connection timed out.
     */
    @Test
    void sendsNoRequestToALostHome() {
        fleet.engine(1).kill();
        awaitLostPeer("node-0", "node-1");

        // All slots of the other homes are taken, so the lost one would be preferred.
        setHandlers(index -> exchange -> {});
        IntStream.range(0, 8).forEach(request -> fleet.send(0, "POST", EngineFleet.BOOKING_PATH, 4_000));
        Await.until("all slots of the other homes are taken", () -> fleet.receivedRequestCount() == 8);
        List<EngineFleet.SentRequest> lookups = IntStream.range(0, 4)
                .mapToObj(request -> fleet.send(0, "GET", EngineFleet.LOOKUP_PATH, 4_000))
                .toList();

        Await.until("all lookups were sent to a home", () -> lookups.stream()
                .allMatch(lookup -> eventsOf(lookup.id()).contains("attempt-sent")));
        assertThat(
                lookups.stream()
                        .flatMap(lookup -> eventsOf(lookup.id()).stream())
                        .filter("home-unreachable"::equals)
                        .toList(),
                is(List.of()));
    }

    @Test
    void logsOneEventForEachDecision() {
        assertThat(fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH), is(200));
        String id = receivedRequests().get(0).request().header("X-Request").orElseThrow();
        // The caller receives the response a moment before the event is logged.
        Await.until("the response was logged", () -> eventsOf(id).contains("answered"));
        assertThat(eventsOf(id), containsInAnyOrder("attempt-sent", "answered"));
    }

    private List<String> eventsOf(String requestId) {
        return fleet.logLines().stream()
                .filter(line -> line.contains('"' + requestId + '"'))
                .map(line -> line.replaceAll(".*\"event\":\"([a-z-]+)\".*", "$1"))
                .toList();
    }

    private void awaitLostPeer(String nodeId, String lostId) {
        Await.until(nodeId + " noticed the loss of " + lostId, () -> fleet.logLines().stream()
                .filter(line -> line.contains("\"node\":\"" + nodeId + '"'))
                .anyMatch(line -> line.contains("peer-lost") && line.contains("\"peer\":\"" + lostId + '"')));
    }

    private void leaveAndAwaitAcknowledgement(int index) {
        AtomicBoolean acknowledged = new AtomicBoolean();
        fleet.engine(index).leave("upstream-" + index, 0, () -> acknowledged.set(true));
        Await.until("the leave was acknowledged", acknowledged::get);
    }

    private void setHandlers(java.util.function.IntFunction<java.util.function.Consumer<HttpExchange>> handlers) {
        IntStream.range(0, NODES).forEach(index -> fleet.upstream(index).setHandler(handlers.apply(index)));
    }

    private List<HttpExchange> receivedRequests() {
        return IntStream.range(0, NODES)
                .boxed()
                .flatMap(index -> fleet.upstream(index).receivedRequests().stream())
                .toList();
    }

    private static int status(HttpOutcome outcome) {
        return outcome instanceof HttpOutcome.Responded responded
                ? responded.response().status()
                : 0;
    }

    private static List<String> headerValues(HttpExchange exchange, String name) {
        return exchange.request().headers().stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .toList();
    }
}
