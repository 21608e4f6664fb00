package org.sardineshunt.node.backendserver;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.health.ActiveClock;
import org.sardineshunt.coordination.health.Baseline;
import org.sardineshunt.coordination.health.HealthPolicy;
import org.sardineshunt.coordination.health.UpstreamHealth.Outcome;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.kit.TimeSpan;
import org.sardineshunt.node.NodeSettings;
import org.sardineshunt.node.NodeSettings.RankSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards against blaming an upstream for the delay of its home. The group's usual latency is 40 ms. */
class HomeUpstreamTest {
    private static final long TICK_PERIOD_MILLIS = 50;
    private static final int REQUESTS = 12;

    private final HomeUpstream upstream = new HomeUpstream(
            new Announcement("upstream", "service", "127.0.0.1", 1, 4, "ready", Map.of()),
            settings(),
            HealthPolicy.builder().build(),
            new ActiveClock(TICK_PERIOD_MILLIS, 0));

    @BeforeEach
    void updateBaselines() {
        adoptBaselines();
    }

    /** The control thread was 540 ms late, so answers that arrived after 40 ms seemed to take 580 ms. */
    @Test
    void answersThatWaitForTheControlThreadAreNotSlow() {
        start(0);
        upstream.recordOverdueAttempts(TICK_PERIOD_MILLIS);
        adoptBaselines();
        IntStream.range(0, REQUESTS)
                .forEach(request -> upstream.recordEnd(580, 40, id(request), Outcome.SUCCESS, true));

        assertThat(upstream.health().severity(), is(0));
    }

    /** The late tick runs before the answers that arrived meanwhile are processed. */
    @Test
    void aLateTickMakesNoRequestOverdue() {
        start(0);
        upstream.recordOverdueAttempts(TICK_PERIOD_MILLIS);
        upstream.recordOverdueAttempts(640);

        assertThat(upstream.health().severity(), is(0));
    }

    /** A starved process also receives answers late, but its upstream may have answered at once. */
    @Test
    void latencyExcludesTheTimeForWhichTheNodeWasLate() {
        start(0);
        upstream.recordOverdueAttempts(TICK_PERIOD_MILLIS);
        upstream.recordOverdueAttempts(640);

        assertThat(upstream.upstreamMillis(660, 650, id(0)), is(170L));
    }

    /** Guards against a clock that nobody ticks: all latencies were 0 then, and no slow upstream was ejected. */
    @Test
    void answersThatArriveLateWhileTicksAreOnTimeEjectTheUpstream() {
        start(0);
        IntStream.rangeClosed(1, 3).forEach(tick -> upstream.recordOverdueAttempts(tick * TICK_PERIOD_MILLIS));
        IntStream.range(0, 6).forEach(request -> upstream.recordEnd(200, 190, id(request), Outcome.SUCCESS, true));
        adoptBaselines();
        upstream.recordEnd(210, 200, id(6), Outcome.SUCCESS, true);

        assertThat(upstream.health().condition(210), is(HealthCondition.UNHEALTHY));
    }

    @Test
    void requestsThatHangWhileTicksAreOnTimeEjectTheUpstream() {
        start(0);
        IntStream.rangeClosed(1, 10).forEach(tick -> {
            upstream.recordOverdueAttempts(tick * TICK_PERIOD_MILLIS);
        });
        adoptBaselines();
        upstream.health().recordOverdue(500);

        assertThat(upstream.health().condition(500), is(HealthCondition.UNHEALTHY));
    }

    private void start(long nowMillis) {
        IntStream.range(0, REQUESTS).forEach(request -> upstream.recordStart(nowMillis, id(request)));
    }

    // Slowness ejects only once two baselines have arrived after it.
    private void adoptBaselines() {
        IntStream.range(0, 2).forEach(baseline -> upstream.health().updateBaseline(new Baseline(0, 40, 6)));
    }

    private static String id(int request) {
        return "attempt-" + request;
    }

    private static NodeSettings settings() {
        return new NodeSettings(
                "node",
                "dc",
                "region",
                null,
                null,
                "http://127.0.0.1:1",
                List.of(new RankSettings("rank", 0.2)),
                List.of(),
                0.5,
                null,
                new NodeSettings.TimingSettings(
                        new TimeSpan(500),
                        new TimeSpan(150),
                        new TimeSpan(900),
                        new TimeSpan(1_500),
                        new TimeSpan(300),
                        new TimeSpan(500),
                        new TimeSpan(500),
                        new TimeSpan(10_000)),
                null);
    }
}
