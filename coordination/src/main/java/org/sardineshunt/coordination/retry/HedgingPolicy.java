package org.sardineshunt.coordination.retry;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

import io.vavr.control.Either;
import org.sardineshunt.coordination.placement.HomeView;
import org.sardineshunt.coordination.rotation.HealthCondition;

/**
 * Decides whether an idempotent request of one service, whose attempt is slow, gets a second attempt at another home
 * while the first one runs (a hedge). Not thread-safe.
 *
 * <p>A token bucket limits the hedges: each request adds the share as a part of a token, each hedge takes one token. The
 * bucket starts empty, so that the hedges never exceed the share of the requests so far.
 */
public final class HedgingPolicy {
    /**
     * Percentile of the response times after which a request is hedged at the earliest. One slow upstream of ten answers
     * a tenth of the requests, so that a higher percentile may be its own response time.
     */
    public static final double EARLY_PERCENTILE = 90;

    /**
     * Percentile of the response times after which a request is hedged at the latest. After a lower one, the share would
     * be used up by requests that are answered soon.
     */
    public static final double LATE_PERCENTILE = 95;

    /** Age up to which response times are counted. */
    public static final long WINDOW_MILLIS = 10_000;

    // A response that takes longer than this many medians counts as slow although it isn't among the slowest.
    private static final double SLOW_MEDIANS = 3;

    // With fewer samples, the percentile is the response time of a few requests.
    private static final int MINIMUM_SAMPLES = 50;

    // Saves up hedges for a few slow requests at the same time.
    private static final double MAXIMUM_TOKENS = 3;

    private static final double MINIMUM_TIME_LEFT_MEDIANS = 2;
    private static final double MINIMUM_FREE_SHARE = 0.25;
    private static final long MAXIMUM_REPORT_AGE_MILLIS = 1_000;

    private final double share;
    private double tokens;

    /**
     * Creates a policy without tokens.
     *
     * @param share hedges allowed per request, from 0 (off) to 1
     * @throws IllegalArgumentException if the share is out of range
     */
    public HedgingPolicy(double share) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("hedge share must be from 0 to 1, got " + share);
        }
        this.share = share;
    }

    /** Counts a request, which adds the share to the tokens. */
    public void recordRequest() {
        tokens = Math.min(MAXIMUM_TOKENS, tokens + share);
    }

    /** Returns the time without a response after which a request is hedged; empty if it isn't hedged at all. */
    public OptionalLong delayMillis(ResponseTimes times) {
        if (share == 0 || times.samples() < MINIMUM_SAMPLES) {
            return OptionalLong.empty();
        }
        double slowMillis = Math.max(times.earlyMillis(), SLOW_MEDIANS * times.medianMillis());
        return OptionalLong.of((long) Math.max(1, Math.min(times.lateMillis(), slowMillis)));
    }

    /**
     * Returns the home of a hedge (right), or why there is none (left).
     *
     * @param times recent response times of the service
     * @param leftMillis time until the request's deadline
     * @param homes all known homes of the service
     * @param tried node IDs of the homes that have received this request
     * @param takeRetry takes a retry from the budget; called last, only if all else allows the hedge
     * @param random source of numbers from 0 to below 1
     */
    public Either<Refusal, HomeView> decide(
            ResponseTimes times,
            long leftMillis,
            List<Candidate> homes,
            Set<String> tried,
            BooleanSupplier takeRetry,
            DoubleSupplier random) {
        if (delayMillis(times).isEmpty()) {
            return Either.left(Refusal.FEW_SAMPLES);
        }
        if (leftMillis < MINIMUM_TIME_LEFT_MEDIANS * times.medianMillis()) {
            return Either.left(Refusal.NO_TIME_LEFT);
        }
        if (isCapacityScarce(homes)) {
            return Either.left(Refusal.CAPACITY_SCARCE);
        }
        Optional<HomeView> home = chooseIdle(homes, tried, random);
        if (home.isEmpty()) {
            return Either.left(Refusal.NO_IDLE_HOME);
        }
        if (tokens < 1) {
            return Either.left(Refusal.SHARE_USED);
        }
        if (!takeRetry.getAsBoolean()) {
            return Either.left(Refusal.RETRY_BUDGET);
        }
        tokens--;
        return Either.right(home.get());
    }

    // The free slots of unhealthy and avoided homes are no capacity.
    private static boolean isCapacityScarce(List<Candidate> homes) {
        int slots = homes.stream().mapToInt(home -> home.view().slots()).sum();
        int freeSlots = homes.stream()
                .map(Candidate::view)
                .filter(HedgingPolicy::isUsable)
                .mapToInt(HedgingPolicy::freeSlots)
                .sum();
        return freeSlots < MINIMUM_FREE_SHARE * slots;
    }

    // Prefers the own data centre, then the home with the most free slots; equal ones in random order, so that entries
    // with the same knowledge don't all choose the same home.
    private static Optional<HomeView> chooseIdle(List<Candidate> homes, Set<String> tried, DoubleSupplier random) {
        return homes.stream()
                .filter(home -> home.reportAgeMillis() < MAXIMUM_REPORT_AGE_MILLIS || home.ownAttempts() == 0)
                .map(Candidate::view)
                .filter(home -> isUsable(home) && freeSlots(home) > 0 && !tried.contains(home.nodeId()))
                .map(home -> new RankedHome(home, random.getAsDouble()))
                .min(Comparator.comparing((RankedHome ranked) -> !ranked.home().near())
                        .thenComparing(ranked -> (double) ranked.home().outstandingRequests()
                                / ranked.home().slots())
                        .thenComparing(RankedHome::order))
                .map(RankedHome::home);
    }

    private static boolean isUsable(HomeView home) {
        return home.condition() == HealthCondition.HEALTHY && !home.avoided();
    }

    private static int freeSlots(HomeView home) {
        return home.expectedWaitMillis() > 0 ? 0 : Math.max(0, home.slots() - home.outstandingRequests());
    }

    /**
     * Recent response times of a service at one entry.
     *
     * @param samples number of responses
     * @param medianMillis median of their times
     * @param earlyMillis percentile {@link #EARLY_PERCENTILE} of their times
     * @param lateMillis percentile {@link #LATE_PERCENTILE} of their times
     */
    public record ResponseTimes(long samples, double medianMillis, double earlyMillis, double lateMillis) {
        /** No response is known. */
        public static final ResponseTimes NONE = new ResponseTimes(0, 0, 0, 0);
    }

    /**
     * A home that may receive a hedge.
     *
     * @param view what the entry knows of the home
     * @param reportAgeMillis age of the home's last load report; the largest value if there is none
     * @param ownAttempts attempts of this entry that are in flight at the home
     */
    public record Candidate(HomeView view, long reportAgeMillis, int ownAttempts) {}

    /** Why a request isn't hedged. */
    public enum Refusal {
        /** Too few responses are known. */
        FEW_SAMPLES("few-samples"),
        /** A second attempt is unlikely to be answered before the deadline. */
        NO_TIME_LEFT("no-time-left"),
        /** The homes of the service together have too few free slots. */
        CAPACITY_SCARCE("capacity-scarce"),
        /** No other home is known to be idle. */
        NO_IDLE_HOME("no-idle-home"),
        /** The share of hedges is used up. */
        SHARE_USED("share-used"),
        /** The retry budget is used up. */
        RETRY_BUDGET("retry-budget");

        private final String label;

        Refusal(String label) {
            this.label = label;
        }

        /** Returns the name in logs and metrics. */
        public String label() {
            return label;
        }
    }

    private record RankedHome(HomeView home, double order) {}
}
