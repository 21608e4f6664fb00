package org.sardineshunt.engine.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.account.ClockReading;
import org.sardineshunt.coordination.account.RunningRequests;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.ManualTimerService;
import org.sardineshunt.engine.RequestHeaders;
import org.sardineshunt.engine.caller.RequestAdmission.Refusal;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpRequestData;
import org.sardineshunt.engine.platform.ConfigurationTracker;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.sardineshunt.engine.caller.AccountConfigurations.KEYED_PATH;
import static org.sardineshunt.engine.caller.AccountConfigurations.PUBLIC_PATH;

class CallerAuthorizationTest {
    private static final RequestHeaders HEADERS = new RequestHeaders(
            "X-Request",
            "X-Left",
            "X-Expected",
            "X-Caller",
            "X-Not-Run",
            "X-Signature",
            "Authorization",
            "X-Account",
            "/");

    private final ManualTimerService timers = new ManualTimerService();
    private final FakeConfigurationSource source = new FakeConfigurationSource();
    private final RunningRequests running = new RunningRequests();
    private final List<String> queriedNodes = new ArrayList<>();
    private FleetConfiguration peerConfiguration;
    private long wallClockAheadMillis;
    private final ConfigurationTracker tracker = new ConfigurationTracker(
            timers,
            () -> new ClockReading(timers.nowMillis(), timers.nowMillis() + wallClockAheadMillis),
            new EventLog("node", line -> {}),
            source,
            (nodeId, knownVersion, onReceived) -> {
                queriedNodes.add(nodeId);
                if (peerConfiguration != null) {
                    onReceived.accept(FakeConfigurationSource.encode(peerConfiguration));
                }
            },
            adopted -> {});
    private final CallerAuthorization authorization =
            new CallerAuthorization(HEADERS, tracker, running::find, running::tryAcquireCall);
    private final List<Either<Refusal, AuthorizedRequest>> decisions = new ArrayList<>();

    @Test
    void acceptsAKeyForItsAccountWithoutReadingTheStore() {
        adopt(source.store(AccountConfigurations.withKeys(1, "secret")));
        AuthorizedRequest authorized =
                authorize(KEYED_PATH, "Bearer secret", "r").get();
        assertThat(authorized.requestAccount().name(), is(AccountConfigurations.ACCOUNT));
        assertThat(authorized.rank(), is(2));
        assertThat(source.reads(), is(0));
    }

    @Test
    void needsNoKeyOnAPublicRouteOrWithoutAccounts() {
        adopt(AccountConfigurations.withKeys(1, "secret"));
        assertThat(
                authorize(PUBLIC_PATH, "Bearer wrong", "r")
                        .get()
                        .requestAccount()
                        .name(),
                is(""));
        adopt(AccountConfigurations.withoutAccounts(2));
        assertThat(authorize(KEYED_PATH, "", "r").get().rank(), is(5));
        assertThat(source.reads(), is(0));
    }

    @Test
    void refusesAnUnknownOrMissingKeyAfterOneReadOfTheStore() {
        adopt(source.store(AccountConfigurations.withKeys(1, "secret")));
        assertThat(reasonOf(authorize(KEYED_PATH, "Bearer wrong", "r")), is(Reason.KEY_UNKNOWN));
        assertThat(reasonOf(authorize(KEYED_PATH, "", "r")), is(Reason.KEY_UNKNOWN));
        assertThat(reasonOf(authorize(KEYED_PATH, "Basic secret", "r")), is(Reason.KEY_UNKNOWN));
        assertThat(source.reads(), is(1));
    }

    /** A key that was added a moment ago must not be refused for good by a node that hasn't heard of it. */
    @Test
    void judgesByTheNewerConfigurationThatTheReadReturns() {
        adopt(AccountConfigurations.withKeys(1, "secret"));
        source.store(AccountConfigurations.withKeys(2, "secret", "added"));
        assertThat(authorize(KEYED_PATH, "Bearer added", "r").isRight(), is(true));
    }

    @Test
    void refusesForLackOfConfirmationWhileTheStoreIsAway() {
        adopt(AccountConfigurations.withKeys(1, "secret"));
        source.setDown(true);
        Either<Refusal, AuthorizedRequest> decision = authorize(KEYED_PATH, "Bearer wrong", "r");
        assertThat(reasonOf(decision), is(Reason.CONFIGURATION_UNCONFIRMED));
        assertThat(decision.getLeft().retryAfterMillis(), is(500L));
        assertThat(authorize(KEYED_PATH, "Bearer secret", "r").isRight(), is(true));
        assertThat("a failed read is not repeated for each request", source.reads(), is(1));
    }

    @Test
    void refusesAfterHalfASecondWithoutAnAnswerOfTheStore() {
        adopt(source.store(AccountConfigurations.withKeys(1, "secret")));
        source.setAnswering(false);
        request(KEYED_PATH, "Bearer wrong", "r");
        request(KEYED_PATH, "Bearer wrong", "r");
        timers.advance(499);
        assertThat(decisions, is(empty()));
        timers.advance(1);
        assertThat(
                decisions.stream().map(CallerAuthorizationTest::reasonOf).toList(),
                is(List.of(Reason.CONFIGURATION_UNCONFIRMED, Reason.CONFIGURATION_UNCONFIRMED)));
        assertThat(source.reads(), is(1));
    }

    /** What the store said before the machine was suspended says nothing about the time after it. */
    @Test
    void confirmsAgainAfterASecondOnEitherClock() {
        adopt(source.store(AccountConfigurations.withKeys(1, "secret")));
        authorize(KEYED_PATH, "Bearer wrong", "r");
        timers.advance(999);
        authorize(KEYED_PATH, "Bearer wrong", "r");
        assertThat(source.reads(), is(1));
        timers.advance(1);
        authorize(KEYED_PATH, "Bearer wrong", "r");
        assertThat(source.reads(), is(2));
        wallClockAheadMillis = 60_000;
        authorize(KEYED_PATH, "Bearer wrong", "r");
        assertThat(source.reads(), is(3));
    }

    /** Requests without a route come all the time; a read of the store for each would exceed the store's rate. */
    @Test
    void refusesARequestWithoutARouteWithoutReadingTheStore() {
        adopt(AccountConfigurations.withoutAccounts(1));
        assertThat(reasonOf(authorize("/elsewhere/", "", "r")), is(Reason.NO_ROUTE));
        adopt(source.store(AccountConfigurations.withKeys(2, "secret")));
        assertThat(reasonOf(authorize("/elsewhere/", "", "r")), is(Reason.NO_ROUTE));
        assertThat(source.reads(), is(0));
    }

    /** A store that lags behind the peers can't confirm the version that this node has. */
    @Test
    void doesNotConfirmAVersionThatAPeerHasReplaced() {
        adopt(source.store(AccountConfigurations.withKeys(1, "secret")));
        tracker.recordPeerVersion("peer", 2);
        assertThat(reasonOf(authorize(KEYED_PATH, "Bearer wrong", "r")), is(Reason.CONFIGURATION_UNCONFIRMED));
    }

    /** A removed key must stop working on a node that can't reach the store. */
    @Test
    void fetchesANewerConfigurationFromAPeerIfTheStoreDoesNotGiveIt() {
        adopt(AccountConfigurations.withKeys(1, "secret"));
        source.setDown(true);
        peerConfiguration = source.register(AccountConfigurations.withKeys(2));
        tracker.recordPeerVersion("peer", 2);
        timers.advance(199);
        assertThat(queriedNodes, is(empty()));
        timers.advance(1);
        assertThat(queriedNodes, is(List.of("peer")));
        assertThat(authorize(KEYED_PATH, "Bearer secret", "r").isLeft(), is(true));
        timers.advance(60_000);
        assertThat(queriedNodes, is(List.of("peer")));
    }

    @Test
    void asksNoPeerIfTheStoreGivesTheVersionInTime() {
        adopt(AccountConfigurations.withKeys(1, "secret"));
        source.store(AccountConfigurations.withKeys(2));
        tracker.recordPeerVersion("peer", 2);
        timers.advance(10_000);
        assertThat(queriedNodes, is(empty()));
    }

    @Test
    void acceptsCallsOfARunningRequestWithItsRankAndAccount() {
        adopt(AccountConfigurations.withKeys(1, "secret"));
        running.start("parent", 3, "shop");
        AuthorizedRequest call = authorize(KEYED_PATH, "", "parent/1").get();
        assertThat(call.rank(), is(3));
        assertThat(call.requestAccount().name(), is("shop"));
        assertThat("a call gets no account of its own", call.account().isEmpty(), is(true));
    }

    /** Someone who invents parent IDs gets nothing, whoever runs; who knows one gets the calls of one request. */
    @Test
    void refusesInventedParentsAtOnce() {
        adopt(source.store(AccountConfigurations.withKeys(1, "secret")));
        Random random = new Random(20261206);
        running.start("f00d", 0, "shop");
        Stream<Either<Refusal, AuthorizedRequest>> invented = IntStream.range(0, 2_000)
                .mapToObj(attempt -> authorize(KEYED_PATH, "", Long.toHexString(random.nextLong()) + "/1"));
        assertThat(
                invented.map(CallerAuthorizationTest::reasonOf).distinct().toList(),
                is(List.of(Reason.PARENT_NOT_RUNNING)));
        long accepted = IntStream.range(0, 2_000)
                .filter(attempt -> authorize(KEYED_PATH, "", "f00d/" + attempt).isRight())
                .count();
        assertThat(accepted, is(32L));
        assertThat("refused without a read", source.reads(), is(0));
    }

    /** An account must not go before others by claiming that a running request makes its calls. */
    @Test
    void takesNoRankOfAParentForARequestWithAKey() {
        adopt(AccountConfigurations.withKeys(1, "secret"));
        running.start("parent", 0, "other");
        AuthorizedRequest authorized =
                authorize(KEYED_PATH, "Bearer secret", "parent/1").get();
        assertThat(authorized.rank(), is(2));
        assertThat(authorized.parent().isEmpty(), is(true));
    }

    @Test
    void refusesBeforeTheFirstConfiguration() {
        assertThat(reasonOf(authorize(KEYED_PATH, "Bearer secret", "r")), is(Reason.NOT_READY));
    }

    private void adopt(FleetConfiguration configuration) {
        tracker.adopt(configuration, FakeConfigurationSource.encode(source.register(configuration)));
    }

    private Either<Refusal, AuthorizedRequest> authorize(String path, String credentials, String requestId) {
        request(path, credentials, requestId);
        return decisions.get(decisions.size() - 1);
    }

    private void request(String path, String credentials, String requestId) {
        List<HttpHeader> headers = List.of(
                new HttpHeader("Host", "h"),
                new HttpHeader("X-Request", requestId),
                new HttpHeader("authorization", credentials));
        authorization.authorize(new HttpRequestData("GET", path + "x", headers, new byte[0]), decisions::add);
    }

    private static Reason reasonOf(Either<Refusal, AuthorizedRequest> decision) {
        return decision.getLeft().reason();
    }
}
