package org.sardineshunt.coordination.retry;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.placement.HomeView;
import org.sardineshunt.coordination.retry.HedgingPolicy.Candidate;
import org.sardineshunt.coordination.retry.HedgingPolicy.Refusal;
import org.sardineshunt.coordination.retry.HedgingPolicy.ResponseTimes;
import org.sardineshunt.coordination.rotation.HealthCondition;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class HedgingPolicyTest {
    private static final ResponseTimes TIMES = new ResponseTimes(50, 100, 150, 250);
    private static final long AMPLE_MILLIS = 5_000;
    private static final int SLOTS = 4;
    private static final Candidate TRIED = idle("tried");
    private static final Candidate OTHER = idle("other");

    private final HedgingPolicy policy = withTokens(1);

    @Test
    void hedgesAtAnotherHome() {
        assertThat(decide(List.of(TRIED, OTHER)), is(Either.right(OTHER.view())));
    }

    /** After an earlier time, requests that are answered soon would use up the share. */
    @Test
    void hedgesAfterTheLatePercentile() {
        assertThat(policy.delayMillis(TIMES), is(OptionalLong.of(250)));
    }

    /** The late percentile may be the time of one slow upstream. */
    @Test
    void hedgesEarlierIfTheLatePercentileIsFarAboveTheMedian() {
        assertThat(policy.delayMillis(new ResponseTimes(50, 100, 150, 1_000)), is(OptionalLong.of(300)));
        assertThat(policy.delayMillis(new ResponseTimes(50, 100, 400, 1_000)), is(OptionalLong.of(400)));
    }

    @Test
    void neverHedgesWithAShareOfZero() {
        assertThat(new HedgingPolicy(0).delayMillis(TIMES), is(OptionalLong.empty()));
    }

    /** The percentile of a few responses says nothing about the next one. */
    @Test
    void needsFiftySamples() {
        ResponseTimes fewTimes = new ResponseTimes(49, 100, 150, 250);
        assertThat(policy.delayMillis(fewTimes), is(OptionalLong.empty()));
        assertThat(
                policy.decide(fewTimes, AMPLE_MILLIS, List.of(TRIED, OTHER), Set.of("tried"), () -> true, () -> 0),
                is(Either.left(Refusal.FEW_SAMPLES)));
    }

    @Test
    void needsTwiceTheMedianUntilTheDeadline() {
        assertThat(decide(199, List.of(TRIED, OTHER)), is(Either.left(Refusal.NO_TIME_LEFT)));
        assertThat(decide(200, List.of(TRIED, OTHER)), is(Either.right(OTHER.view())));
    }

    @Test
    void neverHedgesAtTheSameHome() {
        assertThat(decide(List.of(TRIED)), is(Either.left(Refusal.NO_IDLE_HOME)));
    }

    @Test
    void refusesHomesThatAreNotKnownToBeIdle() {
        Candidate full = candidate("full", SLOTS, 0, HealthCondition.HEALTHY, false, 0, 0);
        Candidate queueing = candidate("queueing", 1, 50, HealthCondition.HEALTHY, false, 0, 0);
        Candidate unhealthy = candidate("unhealthy", 0, 0, HealthCondition.UNHEALTHY, false, 0, 0);
        Candidate onTrial = candidate("on-trial", 0, 0, HealthCondition.TRIAL, false, 0, 0);
        Candidate avoided = candidate("avoided", 0, 0, HealthCondition.HEALTHY, true, 0, 0);
        Candidate oldReport = candidate("old-report", 1, 0, HealthCondition.HEALTHY, false, 1_000, 1);
        List.of(full, queueing, unhealthy, onTrial, avoided, oldReport)
                .forEach(home -> assertThat(
                        home.view().nodeId(),
                        decide(List.of(TRIED, idle("tried"), idle("tried"), home)),
                        is(Either.left(Refusal.NO_IDLE_HOME))));
    }

    @Test
    void acceptsAHomeWithARecentReportOrWithoutOwnAttempts() {
        Candidate recentReport = candidate("recent-report", 1, 0, HealthCondition.HEALTHY, false, 999, 1);
        Candidate noReport = candidate("no-report", 0, 0, HealthCondition.HEALTHY, false, Long.MAX_VALUE, 0);
        assertThat(decide(List.of(TRIED, recentReport)), is(Either.right(recentReport.view())));
        assertThat(
                withTokens(1)
                        .decide(TIMES, AMPLE_MILLIS, List.of(TRIED, noReport), Set.of("tried"), () -> true, () -> 0),
                is(Either.right(noReport.view())));
    }

    /** Extra work beside full homes delays other callers. */
    @Test
    void refusesWithLessThanAQuarterOfTheSlotsFree() {
        Candidate full = candidate("tried", SLOTS, 0, HealthCondition.HEALTHY, false, 0, 0);
        Candidate oneFree = candidate("other", SLOTS - 1, 0, HealthCondition.HEALTHY, false, 0, 0);
        Candidate twoFree = candidate("other", SLOTS - 2, 0, HealthCondition.HEALTHY, false, 0, 0);
        Candidate unhealthy = candidate("unhealthy", 0, 0, HealthCondition.UNHEALTHY, true, 0, 0);
        assertThat(decide(List.of(full, oneFree)), is(Either.left(Refusal.CAPACITY_SCARCE)));
        assertThat(decide(List.of(full, twoFree, unhealthy)), is(Either.left(Refusal.CAPACITY_SCARCE)));
        assertThat(decide(List.of(full, twoFree)), is(Either.right(twoFree.view())));
    }

    @Test
    void prefersTheOwnDataCentreThenTheIdlestHome() {
        Candidate far = new Candidate(view("far", false, 0, 0, HealthCondition.HEALTHY, false), 0, 0);
        Candidate busy = candidate("busy", 1, 0, HealthCondition.HEALTHY, false, 0, 0);
        assertThat(decide(List.of(far, busy, OTHER, TRIED)), is(Either.right(OTHER.view())));
    }

    @Test
    void keepsTheTokenIfTheRetryBudgetIsUsedUp() {
        assertThat(
                policy.decide(TIMES, AMPLE_MILLIS, List.of(OTHER), Set.of(), () -> false, () -> 0),
                is(Either.left(Refusal.RETRY_BUDGET)));
        assertThat(decide(List.of(OTHER)), is(Either.right(OTHER.view())));
        assertThat(decide(List.of(OTHER)), is(Either.left(Refusal.SHARE_USED)));
    }

    @Test
    void neverExceedsTheShareOfTheRequestsSoFar() {
        HedgingPolicy twentieth = new HedgingPolicy(0.05);
        int hedges = 0;
        for (int requests = 1; requests <= 1_000; requests++) {
            twentieth.recordRequest();
            hedges += twentieth
                            .decide(TIMES, AMPLE_MILLIS, List.of(OTHER), Set.of(), () -> true, () -> 0)
                            .isRight()
                    ? 1
                    : 0;
            assertThat(hedges <= 0.05 * requests + 1e-9, is(true));
        }
    }

    @Test
    void refusesAShareOutOfRange() {
        assertThrows(IllegalArgumentException.class, () -> new HedgingPolicy(1.1));
        assertThrows(IllegalArgumentException.class, () -> new HedgingPolicy(Double.NaN));
    }

    private Either<Refusal, HomeView> decide(List<Candidate> homes) {
        return decide(AMPLE_MILLIS, homes);
    }

    private Either<Refusal, HomeView> decide(long leftMillis, List<Candidate> homes) {
        return policy.decide(TIMES, leftMillis, homes, Set.of("tried"), () -> true, () -> 0);
    }

    private static HedgingPolicy withTokens(int tokens) {
        HedgingPolicy policy = new HedgingPolicy(1);
        IntStream.range(0, tokens).forEach(request -> policy.recordRequest());
        return policy;
    }

    private static Candidate idle(String nodeId) {
        return candidate(nodeId, 0, 0, HealthCondition.HEALTHY, false, 0, 0);
    }

    private static Candidate candidate(
            String nodeId,
            int outstanding,
            double waitMillis,
            HealthCondition condition,
            boolean avoided,
            long reportAgeMillis,
            int ownAttempts) {
        return new Candidate(
                view(nodeId, true, outstanding, waitMillis, condition, avoided), reportAgeMillis, ownAttempts);
    }

    private static HomeView view(
            String nodeId,
            boolean near,
            int outstanding,
            double waitMillis,
            HealthCondition condition,
            boolean avoided) {
        return new HomeView(nodeId, near, SLOTS, outstanding, waitMillis, 100, condition, false, avoided);
    }
}
