package org.sardineshunt.engine;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.engine.caller.AccountConfigurations;
import org.sardineshunt.engine.caller.FakeConfigurationSource;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpOutcome;
import org.sardineshunt.engine.http.HttpRequestData;
import org.sardineshunt.engine.protocol.EngineMessages.Header;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.sardineshunt.engine.caller.AccountConfigurations.KEYED_PATH;
import static org.sardineshunt.engine.caller.AccountConfigurations.PUBLIC_PATH;

class EngineAccountTest {
    private static final String KEY = "secret-key";

    private final EngineFleet fleet = new EngineFleet(2);
    private int sentRequests;

    @AfterEach
    void close() {
        fleet.close();
    }

    /** The upstream trusts the account's name, and a key that it or a log saw could be used elsewhere. */
    @Test
    void replacesTheKeyByTheNameOfItsAccount() {
        configureAll(AccountConfigurations.withKeys(2, KEY));
        IntStream.range(0, 8).forEach(index -> assertThat(statusOf(0, KEYED_PATH, KEY), is(200)));
        List<HttpRequestData> received = receivedRequests();
        assertThat(received.size(), is(8));
        received.forEach(request -> {
            assertThat(request.header("X-Account"), is(Optional.of(AccountConfigurations.ACCOUNT)));
            assertThat(request.header("Authorization"), is(Optional.empty()));
        });
        assertThat(fleet.logLines().stream().anyMatch(line -> line.contains(KEY)), is(false));
    }

    @Test
    void removesKeyAndForgedNameOnPublicRoutes() {
        configureAll(AccountConfigurations.withKeys(2, KEY));
        assertThat(statusOf(0, PUBLIC_PATH, KEY), is(200));
        HttpRequestData received = receivedRequests().get(0);
        assertThat(received.header("X-Account"), is(Optional.empty()));
        assertThat(received.header("Authorization"), is(Optional.empty()));
    }

    /** Callers of deployments without accounts authenticate at the upstream. */
    @Test
    void forwardsTheKeyButNoForgedNameWithoutAccounts() {
        assertThat(statusOf(0, EngineFleet.LOOKUP_PATH, KEY), is(200));
        HttpRequestData received = receivedRequests().get(0);
        assertThat(received.header("X-Account"), is(Optional.empty()));
        assertThat(received.header("Authorization"), is(Optional.of("Bearer " + KEY)));
    }

    @Test
    void refusesUnknownKeysByTheStoredConfigurationOnly() {
        configureAll(AccountConfigurations.withKeys(2, KEY));
        assertThat(statusOf(0, KEYED_PATH, "unknown"), is(401));
        assertThat(statusOf(0, KEYED_PATH, "new"), is(401));
        fleet.configurations().store(AccountConfigurations.withKeys(3, KEY, "new"));
        Await.until("the confirmation has expired", () -> statusOf(0, KEYED_PATH, "new") == 200);
        fleet.configurations().setDown(true);
        Await.until("the confirmation has expired", () -> statusOf(0, KEYED_PATH, "unknown") == 503);
        assertThat(receivedRequests().size(), is(1));
    }

    /** A removed key must stop working on a node that can't reach the store but is told of the version by others. */
    @Test
    void spreadsConfigurationsBetweenNodesWhileTheStoreIsAway() {
        configureAll(AccountConfigurations.withKeys(2, KEY));
        fleet.configurations().setDown(true);
        configure(1, fleet.configurations().register(AccountConfigurations.withKeys(3, "other")));
        Await.until(
                "the other node has the configuration",
                () -> fleet.engine(0).configuration().orElseThrow().version() == 3);
        assertThat(statusOf(0, KEYED_PATH, KEY), is(503));
        assertThat(statusOf(0, KEYED_PATH, "other"), is(200));
    }

    /** Callers keep connections for hours, so a check at their start would leave a removed key in use. */
    @Test
    void refusesARemovedKeyOnAnOpenConnection() throws IOException {
        configureAll(AccountConfigurations.withKeys(2, KEY));
        try (Socket socket = new Socket("127.0.0.1", fleet.callerPort(0))) {
            assertThat(statusLine(socket), is("HTTP/1.1 200 OK"));
            configureAll(AccountConfigurations.withKeys(3, "other"));
            assertThat(statusLine(socket), is("HTTP/1.1 401 Unauthorized"));
        }
    }

    /** The node where the request enters may not know yet that the key was removed. */
    @Test
    void homeRefusesAKeyThatItsNewerConfigurationHasRemoved() {
        configureAll(AccountConfigurations.withKeys(2, KEY));
        // The other node can't get the new version, because the store is away and the version can't be decoded.
        fleet.configurations().setDown(true);
        fleet.engine(0).announce(EngineFleet.announcement(0, 2, Phase.DRAINING), () -> {});
        Await.until(
                "all requests go to the other home",
                () -> statusOf(0, KEYED_PATH, KEY) == 200
                        && fleet.upstream(1).receivedRequests().size() > 0);
        int received = fleet.receivedRequestCount();
        configure(1, AccountConfigurations.withKeys(3, "other"));
        Await.until(
                "the home has the configuration",
                () -> fleet.engine(1).configuration().orElseThrow().version() == 3);
        assertThat(statusOf(0, KEYED_PATH, KEY), is(503));
        assertThat(fleet.receivedRequestCount(), is(received));
        assertThat(fleet.logLines().stream().anyMatch(line -> line.contains("\"key-revoked\"")), is(true));
        // Now the store has the new version, which confirms that the key is gone.
        fleet.configurations().store(AccountConfigurations.withKeys(3, "other"));
        fleet.configurations().setDown(false);
        Await.until("the key is refused for good", () -> statusOf(0, KEYED_PATH, KEY) == 401);
    }

    /** Entries of the previous build know nothing of accounts and pass on what callers send. */
    @Test
    void removesForgedNamesAndKeysOfAttemptsOfThePreviousBuild() throws IOException {
        configureAll(AccountConfigurations.withKeys(2, KEY));
        try (FakeEntry entry = new FakeEntry(fleet, "node-0")) {
            entry.attemptOfPreviousBuild("entry/1/1", header("x-account", "forged"));
            entry.attemptOfPreviousBuild("entry/1/2", header("authorization", "Bearer " + KEY));
        }
        List<HttpRequestData> received = receivedRequests();
        assertThat(received.size(), is(2));
        assertThat(received.get(0).header("X-Account"), is(Optional.empty()));
        assertThat(received.get(1).header("Authorization"), is(Optional.empty()));
    }

    /** Upstreams have no key of their own, and without their calls the request that makes them fails. */
    @Test
    void acceptsCallsOfRunningRequestsWithoutAKey() {
        configureAll(AccountConfigurations.withKeys(2, KEY));
        fleet.upstream(0).setHandler(exchange -> {});
        fleet.upstream(1).setHandler(exchange -> {});
        IntStream.range(0, 4).forEach(index -> send(0, KEYED_PATH, KEY, "parent-" + index));
        Await.until(
                "a request runs at the local upstream",
                () -> !fleet.upstream(0).receivedRequests().isEmpty());
        HttpRequestData parent = fleet.upstream(0).receivedRequests().get(0).request();
        String parentId = parent.header("X-Request").orElseThrow();
        fleet.upstream(0).setHandler(fleet.upstream(0)::succeed);
        fleet.upstream(1).setHandler(fleet.upstream(1)::succeed);
        assertThat(statusOf(send(0, KEYED_PATH, "", parentId + "/call")), is(200));
        assertThat(statusOf(send(0, KEYED_PATH, "", "invented/call")), is(503));
        Optional<HttpRequestData> call = receivedRequests().stream()
                .filter(request -> request.header("X-Request").orElse("").endsWith("/call"))
                .findFirst();
        assertThat(call.orElseThrow().header("X-Account"), is(Optional.empty()));
    }

    /** An account that used each node's own limit would get its burst at every node. */
    @Test
    void limitsAnAccountOverAllNodes() {
        configureAll(AccountConfigurations.withAccount(2, 0.01, 4, KEY));
        List<EngineFleet.SentRequest> sent = IntStream.range(0, 40)
                .mapToObj(index -> send(index % 2, KEYED_PATH, KEY, "limited-" + index))
                .toList();
        List<Integer> statuses =
                sent.stream().map(EngineAccountTest::statusOf).sorted().toList();
        assertThat(
                statuses,
                is(IntStream.range(0, 40)
                        .mapToObj(index -> index < 4 ? 200 : 429)
                        .toList()));
        HttpOutcome.Responded refused = sent.stream()
                .map(request -> (HttpOutcome.Responded) request.outcome().join())
                .filter(outcome -> outcome.response().status() == 429)
                .findFirst()
                .orElseThrow();
        assertThat(refused.response().header("Retry-After"), is(Optional.of("100.00")));
    }

    /** The limit is kept without the node that counted, and its accounts are served on. */
    @Test
    void otherNodeLimitsAnAccountWhenItsOwnerCrashes() {
        configureAll(AccountConfigurations.withAccount(2, 0.01, 4, KEY));
        IntStream.range(0, 2).forEach(crashed -> {
            int other = 1 - crashed;
            fleet.restart(crashed);
            configure(crashed, fleet.engine(other).configuration().orElseThrow());
            Await.until("the node serves again", () -> statusOf(crashed, PUBLIC_PATH, "") == 200);
            fleet.engine(crashed).kill();
            Await.until("the limit is known again", () -> statusOf(other, KEYED_PATH, KEY) == 429);
            fleet.restart(crashed);
            configure(crashed, fleet.engine(other).configuration().orElseThrow());
            Await.until("the node serves again", () -> statusOf(crashed, PUBLIC_PATH, "") == 200);
        });
        long served = receivedRequests().stream()
                .filter(request -> request.target().startsWith(KEYED_PATH))
                .count();
        assertThat((double) served, lessThanOrEqualTo(4.05 * 1.1 + 20));
    }

    private void configureAll(FleetConfiguration configuration) {
        fleet.configurations().store(configuration);
        IntStream.range(0, 2).forEach(index -> configure(index, configuration));
        IntStream.range(0, 2)
                .forEach(index -> Await.until(
                        "the configuration is in force",
                        () -> fleet.engine(index).configuration().orElseThrow().version() == configuration.version()));
    }

    private void configure(int index, FleetConfiguration configuration) {
        fleet.engine(index).configure(configuration, FakeConfigurationSource.encode(configuration));
    }

    private EngineFleet.SentRequest send(int index, String path, String key, String requestId) {
        List<HttpHeader> headers =
                key.isEmpty() ? List.of() : List.of(new HttpHeader("Authorization", "Bearer " + key));
        return fleet.send(index, "GET", path, 4_000, requestId, headers);
    }

    private int statusOf(int index, String path, String key) {
        return statusOf(send(index, path, key, "account-request-" + ++sentRequests));
    }

    private static int statusOf(EngineFleet.SentRequest request) {
        return request.outcome().join() instanceof HttpOutcome.Responded responded
                ? responded.response().status()
                : 0;
    }

    private List<HttpRequestData> receivedRequests() {
        return IntStream.range(0, 2)
                .boxed()
                .flatMap(index -> fleet.upstream(index).receivedRequests().stream())
                .map(exchange -> exchange.request())
                .toList();
    }

    // Sends a request and reads its whole response, whose body has a length.
    private static String statusLine(Socket socket) throws IOException {
        String request = "GET " + KEYED_PATH + " HTTP/1.1\r\nHost: h\r\nX-Request: open\r\nAuthorization: Bearer " + KEY
                + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) socket.getInputStream().read());
        }
        Matcher length = Pattern.compile("(?i)content-length: *([0-9]+)").matcher(head);
        socket.getInputStream().readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        return head.substring(0, head.indexOf("\r\n"));
    }

    private static Header header(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }
}
