package org.sardineshunt.engine.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.account.ClockReading;
import org.sardineshunt.coordination.account.RunningRequests.RunningRequest;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.limit.StopAdmission;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.ManualTimerService;
import org.sardineshunt.engine.RequestHeaders;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.platform.ConfigurationSource;
import org.sardineshunt.engine.platform.ConfigurationTracker;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RequestAdmissionTest {
    private static final long NOW_MILLIS = 5_000;

    private final CrashingRequestDetector crashDetector = new CrashingRequestDetector(1, 10_000);
    private final RequestHeaders headers = new RequestHeaders(
            "X-Id", "X-Left", "X-Upstream", "X-Caller", "X-Not-Run", "X-Signature", "Authorization", "X-Account", ".");
    private Optional<FleetConfiguration> configuration = Optional.of(new FleetConfiguration(
            12,
            List.of(EntryFixtures.route(true, 3)),
            List.of(new FleetConfiguration.Service("finder", "", 4)),
            FleetConfiguration.CallerLimits.DEFAULT));
    private final RequestAdmission admission = new RequestAdmission(headers, crashDetector, () -> 0);

    @Test
    void acceptsARequestWithTheRankAndTimeoutOfItsRoute() {
        AdmittedRequest accepted = decide("/search/a", 0).get();

        assertThat(accepted.requestId(), is("id-1"));
        assertThat(accepted.service(), is("finder"));
        assertThat(accepted.configurationVersion(), is(12L));
        assertThat(accepted.rank(), is(3));
        assertThat(accepted.fromRunningRequest(), is(false));
        assertThat(accepted.startedMillis(), is(NOW_MILLIS));
        assertThat(accepted.deadlineMillis(), is(NOW_MILLIS + EntryFixtures.TIMEOUT_MILLIS));
    }

    /** Guards against a 404, which callers don't repeat, from a node that knows no routes yet. */
    @Test
    void refusesAllRequestsBeforeTheFirstConfiguration() {
        configuration = Optional.empty();

        assertThat(
                decide("/search/a", 0).getLeft(),
                is(new RequestAdmission.Refusal(Reason.NOT_READY, 500, "no configuration has been received")));
    }

    @Test
    void refusesARequestWithoutARoute() {
        assertThat(
                decide("/other/", 0).getLeft(),
                is(new RequestAdmission.Refusal(Reason.NO_ROUTE, 0, "no route found in configuration version 12")));
    }

    @Test
    void refusesARequestThatCrashesUpstreams() {
        long fingerprint = decide("/search/a", 0).get().fingerprint();
        crashDetector.recordCrash(NOW_MILLIS, String.valueOf(fingerprint), "upstream-1");

        assertThat(
                decide("/search/a", 0).getLeft(),
                is(new RequestAdmission.Refusal(Reason.CRASHING_REQUEST, 0, Long.toHexString(fingerprint))));
        assertThat(decide("/search/b", 0).isRight(), is(true));
    }

    /** Guards against requests that a stopping node accepts and gives up halfway. */
    @Test
    void refusesARequestThatMayOutlastTheNode() {
        admission.limitForStop(StopAdmission.stopping(NOW_MILLIS, NOW_MILLIS + 600));

        assertThat(
                decide("/search/a", 0).getLeft(),
                is(new RequestAdmission.Refusal(Reason.SHUTTING_DOWN, 2_100, "the node stops before the response")));
        assertThat(decide("/search/a", 0, new HttpHeader("X-Left", "640")).isRight(), is(true));
    }

    /** Time that a request waited for the control thread is part of the caller's time. */
    @Test
    void subtractsTheMarginAndTheTimeSinceReceiptFromTheCallersTime() {
        assertThat(
                decide("/search/a", 30, new HttpHeader("X-Left", "500")).get().deadlineMillis(),
                is(NOW_MILLIS - 30 + 500 - 40));
    }

    @Test
    void ignoresAMalformedTimeLeft() {
        List.of("", "-5", "1e3", "1234567890")
                .forEach(value -> assertThat(
                        decide("/search/a", 0, new HttpHeader("X-Left", value))
                                .get()
                                .deadlineMillis(),
                        is(NOW_MILLIS + EntryFixtures.TIMEOUT_MILLIS)));
    }

    /** A call waits with its request for a slot, so it must not rank below that request. */
    @Test
    void givesACallOfARunningRequestTheRankOfThatRequest() {
        AdmittedRequest call = decideWithId("running.1").get();
        AdmittedRequest other = decideWithId("unknown.1").get();

        assertThat(call.rank(), is(0));
        assertThat(call.fromRunningRequest(), is(true));
        assertThat(other.rank(), is(3));
        assertThat(other.fromRunningRequest(), is(false));
    }

    private Either<RequestAdmission.Refusal, AdmittedRequest> decide(
            String target, long millisSinceReceived, HttpHeader... moreHeaders) {
        List<HttpHeader> sent =
                new ArrayList<>(List.of(new HttpHeader("Host", "shop:80"), new HttpHeader("X-Id", "id-1")));
        sent.addAll(List.of(moreHeaders));
        return decide(new FakeExchange(EntryFixtures.request(target, sent), millisSinceReceived));
    }

    private Either<RequestAdmission.Refusal, AdmittedRequest> decideWithId(String requestId) {
        List<HttpHeader> sent = List.of(new HttpHeader("Host", "shop"), new HttpHeader("X-Id", requestId));
        return decide(new FakeExchange(EntryFixtures.request("/search/a", sent), 0));
    }

    // As the entry does, first authorizes the request, which needs no confirmation without accounts.
    private Either<RequestAdmission.Refusal, AdmittedRequest> decide(FakeExchange exchange) {
        ManualTimerService timers = new ManualTimerService();
        ConfigurationTracker tracker = new ConfigurationTracker(
                timers,
                () -> new ClockReading(timers.nowMillis(), 0),
                new EventLog("node", line -> {}),
                ConfigurationSource.NONE,
                (nodeId, knownVersion, onReceived) -> {},
                adopted -> {});
        configuration.ifPresent(known -> tracker.adopt(known, new byte[0]));
        CallerAuthorization authorization = new CallerAuthorization(
                headers,
                tracker,
                id -> id.equals("running") ? Optional.of(new RunningRequest(0, "")) : Optional.empty(),
                id -> false);
        List<Either<RequestAdmission.Refusal, AdmittedRequest>> decisions = new ArrayList<>();
        authorization.authorize(
                exchange.request(),
                decision -> decisions.add(
                        decision.flatMap(authorized -> admission.decide(NOW_MILLIS, exchange, authorized))));
        return decisions.get(0);
    }
}
