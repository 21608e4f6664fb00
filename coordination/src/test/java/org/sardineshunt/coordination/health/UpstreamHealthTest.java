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
    private static final double BASELINE_LATENCY_MILLIS = 40;
    private static final Baseline BASELINE = new Baseline(0.002, BASELINE_LATENCY_MILLIS, 10);

    private final Random random = new Random(SEED);
    private final UpstreamHealth health =
            new UpstreamHealth(HealthPolicy.builder().build());

    @Test
    void thirtyPercentFailuresEjectWithinThreeSecondsAtTwentyRequestsPerSecond() {
        health.updateBaseline(BASELINE);

        assertThat(millisToEjection(20, 0.3, 1), lessThanOrEqualTo(3_000L));
    }

    @Test
    void tenfoldLatencyEjectsWithinThreeSecondsAtTwentyRequestsPerSecond() {
        health.updateBaseline(BASELINE);

        assertThat(millisToEjection(20, 0, 10), lessThanOrEqualTo(3_000L));
    }

    @Test
    void anHourOfHealthyNoisyTrafficEjectsNoUpstream() {
        long ejections = IntStream.range(0, 40)
                .filter(index -> {
                    UpstreamHealth upstream =
                            new UpstreamHealth(HealthPolicy.builder().build());
                    upstream.updateBaseline(BASELINE);
                    return IntStream.range(0, 3_600 * 50).anyMatch(request -> {
                        Outcome outcome = random.nextDouble() < 0.005 ? Outcome.FAILURE : Outcome.SUCCESS;
                        upstream.record(request * 20L, outcome, BASELINE_LATENCY_MILLIS * noise());
                        return upstream.condition(request * 20L) != HealthCondition.HEALTHY;
                    });
                })
                .count();

        assertThat(ejections, is(0L));
    }

    @Test
    void overdueRequestsEjectBeforeTheyEnd() {
        health.updateBaseline(BASELINE);

        IntStream.range(0, 6).forEach(request -> health.recordOverdue(1_000));

        assertThat(health.condition(1_000), is(HealthCondition.UNHEALTHY));
    }

    @Test
    void failuresOfTheWholeGroupDoNotEject() {
        health.updateBaseline(new Baseline(0.5, BASELINE_LATENCY_MILLIS, 10));

        IntStream.range(0, 400)
                .forEach(request -> health.record(
                        request * 20L, request % 2 == 0 ? Outcome.FAILURE : Outcome.SUCCESS, BASELINE_LATENCY_MILLIS));

        assertThat(health.condition(8_000), is(HealthCondition.HEALTHY));
    }

    @Test
    void aFlappingUpstreamReturnsAtMostTwiceAMinute() {
        health.updateBaseline(BASELINE);
        long returnCount = 0;
        long maximumReturnsPerMinute = 0;
        HealthCondition previousCondition = HealthCondition.HEALTHY;
        long[] returnedAtMillis = new long[1_000];
        for (long now = 0; now < 600_000; now += 20) {
            boolean failing = now / 2_000 % 2 == 0;
            HealthCondition condition = health.condition(now);
            if (condition != HealthCondition.UNHEALTHY) {
                health.record(now, failing ? Outcome.FAILURE : Outcome.SUCCESS, BASELINE_LATENCY_MILLIS);
            }
            if (previousCondition == HealthCondition.TRIAL && health.condition(now) == HealthCondition.HEALTHY) {
                returnedAtMillis[(int) returnCount++] = now;
                long windowStartMillis = now - 60_000;
                maximumReturnsPerMinute = Math.max(
                        maximumReturnsPerMinute,
                        IntStream.range(0, (int) returnCount)
                                .filter(returnIndex -> returnedAtMillis[returnIndex] > windowStartMillis)
                                .count());
            }
            previousCondition = health.condition(now);
        }

        assertThat(maximumReturnsPerMinute, lessThanOrEqualTo(2L));
    }

    @Test
    void trialEndsAfterEnoughSuccesses() {
        health.updateBaseline(BASELINE);
        IntStream.range(0, 20).forEach(request -> health.record(0, Outcome.FAILURE, BASELINE_LATENCY_MILLIS));
        assertThat(health.condition(0), is(HealthCondition.UNHEALTHY));
        assertThat(health.condition(5_000), is(HealthCondition.TRIAL));

        IntStream.range(0, 10).forEach(request -> health.record(5_000, Outcome.SUCCESS, BASELINE_LATENCY_MILLIS));

        assertThat(health.condition(5_000), is(HealthCondition.HEALTHY));
    }

    private long millisToEjection(int requestsPerSecond, double failureShare, double latencyFactor) {
        for (int request = 0; request < 100 * requestsPerSecond; request++) {
            long now = request * 1_000L / requestsPerSecond;
            Outcome outcome = random.nextDouble() < failureShare ? Outcome.FAILURE : Outcome.SUCCESS;
            health.record(now, outcome, BASELINE_LATENCY_MILLIS * noise() * latencyFactor);
            if (health.condition(now) == HealthCondition.UNHEALTHY) {
                return now;
            }
        }
        return Long.MAX_VALUE;
    }

    private double noise() {
        return Math.exp(random.nextGaussian() * 0.35);
    }

    /**
     * On an overloaded machine, all upstreams of a group became slow at once, and two of them were ejected before the
     * group's baseline had followed.
     */
    @Test
    void aSlowdownOfTheWholeGroupEjectsNoUpstream() {
        List<UpstreamHealth> group = Stream.generate(() -> new UpstreamHealth(
                        HealthPolicy.builder().maximumBaselineAgeMillis(800).build()))
                .limit(6)
                .toList();
        long ejections = 0;
        for (int request = 0; request < 12 * 30; request++) {
            long now = request * 33L;
            double factor = now >= 5_000 && now < 8_000 ? 6 : 1;
            group.forEach(upstream -> upstream.record(now, Outcome.SUCCESS, 60 * factor * noise()));
            if (request % 15 == 14) {
                Baseline baseline =
                        Baseline.of(group.stream().map(UpstreamHealth::sample).toList(), 3);
                group.forEach(upstream -> upstream.updateBaseline(baseline));
            }
            ejections += group.stream()
                    .filter(upstream -> upstream.condition(now) != HealthCondition.HEALTHY)
                    .count();
        }

        assertThat(ejections, is(0L));
    }

    /** A service without idempotent requests has none to send to an upstream on trial. */
    @Test
    void aTrialWithoutRequestsEndsAsHealthy() {
        UpstreamHealth untested = new UpstreamHealth(HealthPolicy.builder()
                .ejectionMillis(1_000, 1_000, 1_000)
                .untestedTrialMillis(3_000)
                .build());
        IntStream.range(0, 100).forEach(index -> untested.record(0, Outcome.FAILURE, 1));

        assertThat(untested.condition(3_999), is(HealthCondition.TRIAL));
        assertThat(untested.condition(4_000), is(HealthCondition.HEALTHY));
    }

    /** Requests fail after some work when a service that they call fails; a trial must not fail because of that. */
    @Test
    void errorsAfterWorkDoNotProlongATrial() {
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
    void oneFastFailureEjectsIfThePolicyCountsItTwice() {
        UpstreamHealth health = new UpstreamHealth(HealthPolicy.builder()
                .ejectionScore(6)
                .fastFailureLatencyRatio(0.1)
                .build());
        health.updateBaseline(new Baseline(0, 400, 4));
        health.record(0, UpstreamHealth.Outcome.FAILURE, 3);
        assertThat(health.condition(1), is(HealthCondition.UNHEALTHY));
    }
}
