package org.sardineshunt.engine.caller;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.placement.HomeView;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RetryDecisionTest {
    private static final PendingRequest.Failure REFUSED =
            new PendingRequest.Failure(Verdict.NOT_RUN, Reason.QUEUE_FULL, false);
    private static final PendingRequest.Failure SHED =
            new PendingRequest.Failure(Verdict.NOT_RUN, Reason.BACKEND_SERVER_SHED, true);
    private static final PendingRequest.Failure LOST =
            new PendingRequest.Failure(Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, true);

    // Half of the random range leaves Retry-After unchanged.
    private static final double NO_JITTER = 0.5;
    private static final double RETRY_SHARE = 0.1;
    private static final int BUDGET_CAPACITY = 3;

    private final CrashingRequestDetector crashDetector = new CrashingRequestDetector(2, 10_000);
    private double randomNumber = NO_JITTER;
    private final RetryDecision decision =
            new RetryDecision(crashDetector, new EntryResponses("X-Id"), RETRY_SHARE, () -> randomNumber);

    @Test
    void retriesIdempotentWorkThatMayHaveRun() {
        assertThat(objection(0, pending(true, 3), LOST), is(Optional.empty()));
    }

    /** Guards against non-idempotent work that runs twice. */
    @Test
    void doesNotRetryOtherWorkThatMayHaveRun() {
        assertThat(objection(0, pending(false, 3), LOST), is(Optional.of("not-idempotent")));
    }

    @Test
    void retriesOtherWorkThatHasNotRun() {
        assertThat(objection(0, pending(false, 3), SHED), is(Optional.empty()));
    }

    /** Guards against more upstreams per request than the route allows. */
    @Test
    void endsWithTheAttemptsOfTheRoute() {
        PendingRequest pending = pending(true, 2);

        assertThat(objection(0, pending, LOST), is(Optional.empty()));
        assertThat(objection(0, pending, LOST), is(Optional.of("attempts-used")));
    }

    @Test
    void doesNotRetryWithoutTimeForAnAttempt() {
        assertThat(objection(980, pending(true, 3), LOST), is(Optional.of("no-time-left")));
        assertThat(objection(979, pending(true, 3), LOST), is(Optional.empty()));
        assertThat(decision.hasTimeForAttempt(19), is(false));
        assertThat(decision.hasTimeForAttempt(20), is(true));
    }

    /** Guards against a second response behind the head of the first one. */
    @Test
    void doesNotRetryAfterTheHeadOfAResponseWasSent() {
        PendingRequest pending = pending(true, 3);
        pending.startResponse();

        assertThat(objection(0, pending, LOST), is(Optional.of("response-sent")));
    }

    @Test
    void refusesAnEvictedRequestThatHasNotRun() {
        RetryDecision.Outcome outcome = decision.evict(pending(true, 3));

        assertThat(outcome.verdict(), is(Verdict.NOT_RUN));
        assertThat(outcome.response().status(), is(503));
        assertThat(outcome.response().header("Retry-After"), is(Optional.of("0.50")));
    }

    /** Guards against a status that promises that the request has not run while an attempt is in flight. */
    @Test
    void promisesNothingAboutAnEvictedRequestInFlight() {
        PendingRequest pending = pending(true, 3);
        pending.startAttempt(new PendingRequest.SentAttempt("entry/1/1", "home"));

        assertThat(decision.evict(pending).response().status(), is(502));
        assertThat(decision.failBody(pending).response().status(), is(502));
    }

    @Test
    void timesOutARequestWhoseBodyStopsBeforeAnAttempt() {
        assertThat(decision.failBody(pending(false, 3)).response().status(), is(408));
    }

    /** Guards against a request that crashes one upstream after the other. */
    @Test
    void doesNotRetryARequestThatMayHaveCrashedAnUpstream() {
        crashDetector.recordCrash(0, String.valueOf(EntryFixtures.FINGERPRINT), "upstream-1");

        assertThat(objection(1, pending(true, 3), LOST), is(Optional.of("suspect")));
    }

    /** Guards against retries that amplify an overload. */
    @Test
    void doesNotRetryBeyondTheBudgetOfTheService() {
        IntStream.range(0, BUDGET_CAPACITY)
                .forEach(index -> assertThat(objection(0, pending(true, 3), SHED), is(Optional.empty())));

        assertThat(objection(0, pending(true, 3), SHED), is(Optional.of("retry-budget")));
    }

    /** A share of a tenth allows one retry for ten requests; eleven, because of the rounding of the sum. */
    @Test
    void requestsAddToTheBudgetOfTheService() {
        IntStream.range(0, BUDGET_CAPACITY).forEach(index -> objection(0, pending(true, 3), SHED));
        IntStream.range(0, 11)
                .forEach(index -> decision.recordRequest(pending(true, 3).request()));

        assertThat(objection(0, pending(true, 3), SHED), is(Optional.empty()));
        assertThat(objection(0, pending(true, 3), SHED), is(Optional.of("retry-budget")));
    }

    /** An objection other than the budget must not use it up. */
    @Test
    void takesNothingFromTheBudgetForRequestsThatAreNotRetried() {
        IntStream.range(0, 10).forEach(index -> objection(0, pending(false, 3), LOST));

        assertThat(objection(0, pending(true, 3), SHED), is(Optional.empty()));
    }

    /** A refusal by a home costs no upstream anything, so neither the route's attempts nor the budget limit it. */
    @Test
    void repeatsAttemptsThatHomesRefusedWithoutTheBudget() {
        PendingRequest pending = pending(false, 1);

        IntStream.range(0, 8).forEach(index -> assertThat(objection(0, pending, REFUSED), is(Optional.empty())));
        assertThat(objection(0, pending(true, 3), SHED), is(Optional.empty()));
    }

    /** Guards against a request that goes around all homes of a large service. */
    @Test
    void stopsAfterTooManyRefusals() {
        PendingRequest pending = pending(true, 3);

        IntStream.range(0, 5).forEach(index -> objection(0, pending, REFUSED));
        assertThat(decision.hasTooManyFailures(pending), is(false));

        objection(0, pending, REFUSED);
        assertThat(decision.hasTooManyFailures(pending), is(true));
    }

    @Test
    void givesUpARequestThatHasNotRunWithARetryAfterOfTheShortestWait() {
        PendingRequest pending = pending(true, 3);
        objection(0, pending, REFUSED);

        RetryDecision.Outcome outcome = decision.giveUp(pending, () -> List.of(home(1_500), home(900)));

        assertThat(outcome.verdict(), is(Verdict.NOT_RUN));
        assertThat(outcome.reason(), is(Reason.QUEUE_FULL));
        assertThat(outcome.response().status(), is(503));
        assertThat(outcome.response().header("X-Id"), is(Optional.of("request-1")));
        assertThat(outcome.response().header("Retry-After"), is(Optional.of("0.90")));
    }

    /** Guards against callers that return at once, or all at the same time. */
    @Test
    void variesRetryAfterByAQuarterAroundAtLeastAFifthOfASecond() {
        PendingRequest pending = pending(true, 3);
        objection(0, pending, REFUSED);

        randomNumber = 0;
        assertThat(retryAfter(pending, List.of(home(0))), is(Optional.of("0.15")));
        randomNumber = 0.999_999;
        assertThat(retryAfter(pending, List.of(home(1_000))), is(Optional.of("1.25")));
    }

    @Test
    void givesAFixedRetryAfterWithoutAnUpstream() {
        randomNumber = 0;

        assertThat(retryAfter(pending(true, 3), List.of(home(5_000))), is(Optional.of("0.70")));
    }

    /** The homes that refused may have stopped before the caller receives the response. */
    @Test
    void givesTheRetryAfterOfNoUpstreamIfTheHomesAreGone() {
        PendingRequest pending = pending(true, 3);
        objection(0, pending, REFUSED);

        assertThat(retryAfter(pending, List.of()), is(Optional.of("0.70")));
    }

    /** Guards against a 503, which promises that the request has not run, for one that may have run. */
    @Test
    void givesUpARequestThatMayHaveRunWithoutAPromise() {
        PendingRequest pending = pending(false, 3);
        objection(0, pending, LOST);

        RetryDecision.Outcome outcome = decision.giveUp(pending, List::of);

        assertThat(outcome.verdict(), is(Verdict.MAY_HAVE_RUN));
        assertThat(outcome.reason(), is(Reason.LINK_LOST));
        assertThat(outcome.response().status(), is(502));
        assertThat(outcome.response().header("Retry-After"), is(Optional.empty()));
    }

    /** A caller got 502 or 504 at the route's timeout, as the home's or this node's timer of the deadline was first. */
    @Test
    void reportsTheTimeoutOfTheHomeAsATimeout() {
        PendingRequest pending = pending(false, 3);
        objection(0, pending, new PendingRequest.Failure(Verdict.MAY_HAVE_RUN, Reason.DEADLINE_PASSED, true));

        assertThat(decision.giveUp(pending, List::of).response().status(), is(504));
    }

    /** An upstream's own error tells the caller more than one of this node's. */
    @Test
    void givesUpWithTheErrorOfAnUpstreamIfThereIsOne() {
        PendingRequest pending = pending(true, 3);
        pending.recordErrorAnswer(Answer.newBuilder().setStatus(500).build());
        objection(0, pending, LOST);

        List.of(decision.giveUp(pending, List::of), decision.timeOut(pending)).forEach(outcome -> {
            assertThat(outcome.verdict(), is(Verdict.RAN));
            assertThat(outcome.reason(), is(Reason.SERVER_ERROR));
            assertThat(outcome.response().status(), is(500));
        });
    }

    @Test
    void timesOutAsMayHaveRunOnceAnAttemptWasSent() {
        PendingRequest pending = pending(true, 3);
        assertThat(decision.timeOut(pending).verdict(), is(Verdict.NOT_RUN));

        pending.startAttempt(new PendingRequest.SentAttempt("attempt-1", "home-1"));

        RetryDecision.Outcome outcome = decision.timeOut(pending);
        assertThat(outcome.verdict(), is(Verdict.MAY_HAVE_RUN));
        assertThat(outcome.reason(), is(Reason.DEADLINE_PASSED));
        assertThat(outcome.response().status(), is(504));
    }

    /** Guards against a 503, which promises that the request has not run, while another attempt may run it. */
    @Test
    void givesUpWithoutAPromiseWhileAnotherAttemptIsInFlight() {
        PendingRequest pending = pending(true, 3);
        pending.startAttempt(new PendingRequest.SentAttempt("attempt-in-flight", "home-in-flight"));
        objection(0, pending, REFUSED);

        RetryDecision.Outcome outcome = decision.giveUp(pending, List::of);

        assertThat(outcome.verdict(), is(Verdict.MAY_HAVE_RUN));
        assertThat(outcome.response().status(), is(502));
    }

    private static PendingRequest pending(boolean idempotent, int maximumAttempts) {
        return new PendingRequest(EntryFixtures.admitted(EntryFixtures.route(idempotent, maximumAttempts)));
    }

    private Optional<String> objection(long nowMillis, PendingRequest pending, PendingRequest.Failure failure) {
        String number = String.valueOf(pending.sentAttempts());
        PendingRequest.SentAttempt attempt = new PendingRequest.SentAttempt("attempt-" + number, "home-" + number);
        pending.startAttempt(attempt);
        pending.failAttempt(attempt, failure);
        return decision.objection(nowMillis, pending, failure);
    }

    private Optional<String> retryAfter(PendingRequest pending, List<HomeView> homes) {
        return decision.giveUp(pending, () -> homes).response().header("Retry-After");
    }

    private static HomeView home(double expectedWaitMillis) {
        return new HomeView("home", true, 4, 4, expectedWaitMillis, 100, HealthCondition.HEALTHY, false, false);
    }
}
