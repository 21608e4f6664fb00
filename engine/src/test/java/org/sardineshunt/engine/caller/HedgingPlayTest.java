package org.sardineshunt.engine.caller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.placement.HomeView;
import org.sardineshunt.coordination.retry.HedgingPolicy;
import org.sardineshunt.coordination.retry.HedgingPolicy.Candidate;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.engine.ManualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Plays the same requests with and without hedging: ten upstreams, of which each serves four requests at once and the
 * others in turn. Each request goes to an upstream with the fewest requests, whatever its speed, as long as health checks
 * have found nothing.
 */
class HedgingPlayTest {
    private static final int UPSTREAMS = 10;
    private static final int SLOTS = 4;
    private static final double MEAN_SERVICE_MILLIS = 100;
    private static final int REQUESTS = 20_000;
    private static final double SHARE = 0.05;
    private static final double HALF_LOAD = 0.5;
    private static final double SLOWNESS = 10;

    /** The late percentile is the time of the slow upstream, after which a hedge would help nobody. */
    @Test
    void oneSlowUpstreamOfTenCostsTheTailLess() {
        BiFunction<Integer, Integer, Double> oneSlow = (request, upstream) -> upstream == 0 ? SLOWNESS : 1;
        Percentiles without = new Play(0, HALF_LOAD, oneSlow).run("one slow upstream");
        Percentiles with = new Play(SHARE, HALF_LOAD, oneSlow).run("one slow upstream");
        assertThat(with.p99(), lessThan(without.p99()));
        assertNoPercentileRises(with, without);
    }

    /** Requests that are answered soon must not use up the share. */
    @Test
    void aFewSlowResponsesOfAllUpstreamsCostTheTailLess() {
        BiFunction<Integer, Integer, Double> fewSlow =
                (request, upstream) -> fraction(request, upstream + UPSTREAMS) < 0.02 ? SLOWNESS : 1;
        Percentiles without = new Play(0, HALF_LOAD, fewSlow).run("few slow responses");
        Percentiles with = new Play(SHARE, HALF_LOAD, fewSlow).run("few slow responses");
        assertThat(with.p99(), lessThan(without.p99()));
        assertNoPercentileRises(with, without);
    }

    /** Another home is as slow, so that hedges only add work. */
    @ParameterizedTest
    @ValueSource(doubles = {1.3, 1.6, SLOWNESS})
    void slownessOfAllUpstreamsBringsOnNoLoss(double slowness) {
        BiFunction<Integer, Integer, Double> allSlow =
                (request, upstream) -> request > REQUESTS / 2 && request < REQUESTS * 6 / 10 ? slowness : 1;
        Percentiles without = new Play(0, HALF_LOAD, allSlow).run("all slow");
        Percentiles with = new Play(SHARE, HALF_LOAD, allSlow).run("all slow");
        assertNoPercentileRises(with, without);
    }

    @Test
    void overloadBringsOnNoLoss() {
        BiFunction<Integer, Integer, Double> even = (request, upstream) -> 1.0;
        Percentiles without = new Play(0, 1.2, even).run("overload");
        Percentiles with = new Play(SHARE, 1.2, even).run("overload");
        assertNoPercentileRises(with, without);
    }

    // The extra work is at most the share, and so must be the loss of a caller.
    private static void assertNoPercentileRises(Percentiles with, Percentiles without) {
        assertThat(with.p50(), lessThanOrEqualTo(without.p50() * (1 + SHARE)));
        assertThat(with.p99(), lessThanOrEqualTo(without.p99() * (1 + SHARE)));
        assertThat(with.p999(), lessThanOrEqualTo(without.p999() * (1 + SHARE)));
    }

    // Unlike Random, SplittableRandom gives unrelated numbers for seeds that are near each other.
    private static double fraction(int request, int salt) {
        return new SplittableRandom(1_000L * request + salt).nextDouble();
    }

    private record Percentiles(double p50, double p99, double p999) {}

    /** One run; factors give how much longer than usual an upstream takes for a request. */
    private static final class Play {
        private final ManualTimerService timers = new ManualTimerService();
        private final ResponseTimeWindow times = new ResponseTimeWindow();
        private final List<Upstream> upstreams =
                IntStream.range(0, UPSTREAMS).mapToObj(Upstream::new).toList();
        private final List<Long> responseMillis = new ArrayList<>();
        private final Random arrivals = new Random(7);
        private final Random choices = new Random(8);
        private final double share;
        private final double load;
        private final BiFunction<Integer, Integer, Double> factors;
        private final HedgingPolicy policy;
        private int hedges;

        private Play(double share, double load, BiFunction<Integer, Integer, Double> factors) {
            this.share = share;
            this.load = load;
            this.factors = factors;
            policy = new HedgingPolicy(share);
        }

        private Percentiles run(String name) {
            double meanIntervalMillis = MEAN_SERVICE_MILLIS / (load * UPSTREAMS * SLOTS);
            double atMillis = 0;
            for (int number = 0; number < REQUESTS; number++) {
                atMillis += -Math.log(1 - arrivals.nextDouble()) * meanIntervalMillis;
                timers.advance(Math.max(0, (long) atMillis - timers.nowMillis()));
                policy.recordRequest();
                new Request(number).start();
                assertThat((double) hedges, lessThanOrEqualTo(share * (number + 1) + 1e-6));
            }
            timers.advance(1_000_000);
            assertThat("each request has one response", responseMillis.size(), is(REQUESTS));
            List<Long> sorted = responseMillis.stream().sorted().toList();
            Percentiles percentiles = new Percentiles(
                    sorted.get(REQUESTS / 2), sorted.get(REQUESTS * 99 / 100), sorted.get(REQUESTS * 999 / 1_000));
            System.out.println(name + ", share " + share + ": " + percentiles + ", hedges " + hedges);
            return percentiles;
        }

        private final class Request {
            private final int number;
            private final long startedMillis = timers.nowMillis();
            private final Set<Upstream> tried = new HashSet<>();
            private TimerService.Timer hedgeTimer = () -> {};
            private boolean ended;

            private Request(int number) {
                this.number = number;
            }

            private void start() {
                Upstream first = upstreams.stream()
                        .min(Comparator.comparingInt(Upstream::busy).thenComparing(upstream -> choices.nextDouble()))
                        .orElseThrow();
                send(first);
                policy.delayMillis(times.times(timers.nowMillis()))
                        .ifPresent(delay -> hedgeTimer = timers.after(delay, this::hedge));
            }

            private void hedge() {
                List<Candidate> candidates =
                        upstreams.stream().map(Upstream::candidate).toList();
                Set<String> triedIds = Set.of(tried.iterator().next().id());
                policy.decide(
                                times.times(timers.nowMillis()),
                                30_000,
                                candidates,
                                triedIds,
                                () -> true,
                                choices::nextDouble)
                        .peek(home -> {
                            hedges++;
                            send(upstreams.get(Integer.parseInt(home.nodeId())));
                        });
            }

            private void send(Upstream upstream) {
                tried.add(upstream);
                upstream.add(this);
            }

            private void end() {
                if (!ended) {
                    ended = true;
                    hedgeTimer.cancel();
                    responseMillis.add(timers.nowMillis() - startedMillis);
                    // The cancelled attempt counts with its time so far, as in the entry.
                    tried.forEach(upstream -> times.record(timers.nowMillis(), timers.nowMillis() - startedMillis));
                    tried.forEach(upstream -> upstream.remove(this));
                }
            }
        }

        private final class Upstream {
            private final int index;
            private final Set<Request> running = new HashSet<>();
            private final Deque<Request> waiting = new ArrayDeque<>();

            private Upstream(int index) {
                this.index = index;
            }

            private String id() {
                return Integer.toString(index);
            }

            private int busy() {
                return running.size() + waiting.size();
            }

            private Candidate candidate() {
                HomeView view = new HomeView(id(), true, SLOTS, busy(), 0, 100, HealthCondition.HEALTHY, false, false);
                return new Candidate(view, 0, busy());
            }

            private void add(Request request) {
                waiting.add(request);
                startNext();
            }

            private void remove(Request request) {
                running.remove(request);
                waiting.remove(request);
                startNext();
            }

            private void startNext() {
                while (running.size() < SLOTS && !waiting.isEmpty()) {
                    Request next = waiting.poll();
                    running.add(next);
                    double millis = factors.apply(next.number, index)
                            * MEAN_SERVICE_MILLIS
                            * (0.5 + fraction(next.number, index));
                    timers.after((long) millis, () -> {
                        if (running.contains(next)) {
                            next.end();
                        }
                    });
                }
            }
        }
    }
}
