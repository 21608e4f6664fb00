package org.sardineshunt.coordination.health;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.health.UpstreamHealth.Outcome;
import org.sardineshunt.coordination.rotation.HealthCondition;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class UpstreamHealthTest {
    private static final long SEED = 7;
    private static final double USUAL_MILLIS = 40;
    private static final Baseline USUAL = new Baseline(0.002, USUAL_MILLIS, 10);

    private final Random random = new Random(SEED);
    private final UpstreamHealth health =
            new UpstreamHealth(HealthPolicy.builder().build());

    @Test
    void thirtyPercentErrorsAreFoundWithinThreeSecondsOfTwentyRequestsEach() {
        health.updateBaseline(USUAL);

        assertThat(millisToEjection(20, 0.3, 1), lessThanOrEqualTo(3_000L));
    }

    @Test
    void tenfoldLatencyIsFoundWithinThreeSecondsOfTwentyRequestsEach() {
        health.updateBaseline(USUAL);

        assertThat(millisToEjection(20, 0, 10), lessThanOrEqualTo(3_000L));
    }

    @Test
    void anHourOfHealthyTrafficWithNoiseEjectsNone() {
        long ejections = IntStream.range(0, 40)
                .filter(upstream -> {
                    UpstreamHealth own =
                            new UpstreamHealth(HealthPolicy.builder().build());
                    own.updateBaseline(USUAL);
                    return IntStream.range(0, 3_600 * 50).anyMatch(request -> {
                        Outcome outcome = random.nextDouble() < 0.005 ? Outcome.FAILURE : Outcome.SUCCESS;
                        own.record(request * 20L, outcome, USUAL_MILLIS * noise());
                        return own.condition(request * 20L) != HealthCondition.HEALTHY;
                    });
                })
                .count();

        assertThat(ejections, is(0L));
    }

    @Test
    void hungRequestsAreFoundBeforeTheyEnd() {
        health.updateBaseline(USUAL);

        IntStream.range(0, 6).forEach(request -> health.recordOverdue(1_000));

        assertThat(health.condition(1_000), is(HealthCondition.UNHEALTHY));
    }

    @Test
    void failuresThatTheWholeGroupSharesDoNotEject() {
        health.updateBaseline(new Baseline(0.5, USUAL_MILLIS, 10));

        IntStream.range(0, 400)
                .forEach(request -> health.record(
                        request * 20L, request % 2 == 0 ? Outcome.FAILURE : Outcome.SUCCESS, USUAL_MILLIS));

        assertThat(health.condition(8_000), is(HealthCondition.HEALTHY));
    }

    @Test
    void aFlapperReturnsAtMostTwiceAMinute() {
        health.updateBaseline(USUAL);
        long returns = 0;
        long worstMinute = 0;
        HealthCondition before = HealthCondition.HEALTHY;
        long[] returnedAt = new long[1_000];
        for (long now = 0; now < 600_000; now += 20) {
            boolean bad = now / 2_000 % 2 == 0;
            HealthCondition condition = health.condition(now);
            if (condition != HealthCondition.UNHEALTHY) {
                health.record(now, bad ? Outcome.FAILURE : Outcome.SUCCESS, USUAL_MILLIS);
            }
            if (before == HealthCondition.TRIAL && health.condition(now) == HealthCondition.HEALTHY) {
                returnedAt[(int) returns++] = now;
                long from = now - 60_000;
                worstMinute = Math.max(
                        worstMinute,
                        IntStream.range(0, (int) returns)
                                .filter(number -> returnedAt[number] > from)
                                .count());
            }
            before = health.condition(now);
        }

        assertThat(worstMinute, lessThanOrEqualTo(2L));
    }

    @Test
    void trialEndsAfterEnoughSuccesses() {
        health.updateBaseline(USUAL);
        IntStream.range(0, 20).forEach(request -> health.record(0, Outcome.FAILURE, USUAL_MILLIS));
        assertThat(health.condition(0), is(HealthCondition.UNHEALTHY));
        assertThat(health.condition(5_000), is(HealthCondition.TRIAL));

        IntStream.range(0, 10).forEach(request -> health.record(5_000, Outcome.SUCCESS, USUAL_MILLIS));

        assertThat(health.condition(5_000), is(HealthCondition.HEALTHY));
    }

    private long millisToEjection(int requestsPerSecond, double errorShare, double latencyFactor) {
        for (int request = 0; request < 100 * requestsPerSecond; request++) {
            long now = request * 1_000L / requestsPerSecond;
            Outcome outcome = random.nextDouble() < errorShare ? Outcome.FAILURE : Outcome.SUCCESS;
            health.record(now, outcome, USUAL_MILLIS * noise() * latencyFactor);
            if (health.condition(now) == HealthCondition.UNHEALTHY) {
                return now;
            }
        }
        return Long.MAX_VALUE;
    }

    private double noise() {
        return Math.exp(random.nextGaussian() * 0.35);
    }

    /** Found beside a busy machine: all upstreams slowed down at once, and two were ejected before their group was heard of. */
    @Test
    void aSlowdownOfTheWholeGroupEjectsNone() {
        List<UpstreamHealth> group = Stream.generate(() -> new UpstreamHealth(
                        HealthPolicy.builder().maximumBaselineAgeMillis(800).build()))
                .limit(6)
                .toList();
        long ejections = 0;
        for (int request = 0; request < 12 * 30; request++) {
            long now = request * 33L;
            double factor = now >= 5_000 && now < 8_000 ? 6 : 1;
            group.forEach(own -> own.record(now, Outcome.SUCCESS, 60 * factor * noise()));
            if (request % 15 == 14) {
                Baseline baseline =
                        Baseline.of(group.stream().map(UpstreamHealth::sample).toList(), 3);
                group.forEach(own -> own.updateBaseline(baseline));
            }
            ejections += group.stream()
                    .filter(own -> own.condition(now) != HealthCondition.HEALTHY)
                    .count();
        }

        assertThat(ejections, is(0L));
    }

    /** A service without idempotent work has nothing to test its upstreams with. */
    @Test
    void aTrialThatNobodyTestsEndsWell() {
        UpstreamHealth untested = new UpstreamHealth(HealthPolicy.builder()
                .ejectionMillis(1_000, 1_000, 1_000)
                .untestedTrialMillis(3_000)
                .build());
        IntStream.range(0, 100).forEach(index -> untested.record(0, Outcome.FAILURE, 1));

        assertThat(untested.condition(3_999), is(HealthCondition.TRIAL));
        assertThat(untested.condition(4_000), is(HealthCondition.HEALTHY));
    }

    /** Requests fail after their work when a service that they call is in trouble; the trial must not fail for that. */
    @Test
    void lateErrorsDoNotProlongATrial() {
        UpstreamHealth health = new UpstreamHealth(HealthPolicy.builder()
                .ejectionScore(6)
                .ejectionMillis(1_000, 1_000, 1_000)
                .trialSuccesses(2)
                .build());
        health.record(0, UpstreamHealth.Outcome.FAILURE, 1);
        health.record(0, UpstreamHealth.Outcome.FAILURE, 1);
        assertThat(health.condition(500), is(HealthCondition.UNHEALTHY));
        health.record(1_001, UpstreamHealth.Outcome.SUCCESS, 100);
        health.recordErrorAfterWork(1_002);
        health.record(1_003, UpstreamHealth.Outcome.SUCCESS, 100);
        assertThat(health.condition(1_004), is(HealthCondition.HEALTHY));
    }

    @Test
    void oneFailureInNoTimeEjectsWhereThePolicySaysSo() {
        UpstreamHealth health = new UpstreamHealth(HealthPolicy.builder()
                .ejectionScore(6)
                .fastFailureLatencyRatio(0.1)
                .build());
        health.updateBaseline(new Baseline(0, 400, 4));
        health.record(0, UpstreamHealth.Outcome.FAILURE, 3);
        assertThat(health.condition(1), is(HealthCondition.UNHEALTHY));
    }
}
