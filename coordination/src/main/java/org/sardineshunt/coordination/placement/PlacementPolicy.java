package org.sardineshunt.coordination.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;

import org.sardineshunt.coordination.rotation.Candidate;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.coordination.rotation.Rotation;
import org.sardineshunt.coordination.rotation.RotationDecision;

/**
 * Chooses the home of the next attempt: where an answer is most likely in time, and in the own data centre while it is
 * there too. It answers overload that is uneven: upstreams of one data centre that are full while others have room.
 *
 * <pre>{@code
 * PlacementPolicy policy = new PlacementPolicy(Rotation.builder().floorShare(0.7).build(), 0.05);
 * Optional<PlacementPolicy.Choice> choice = policy.choose(homes, tried, new Requirements(true, 1_500), random::nextDouble);
 * }</pre>
 *
 * <p>Unhealthy homes are left out down to the rotation's floor. Those that fail requests are used only where all homes of
 * the service do: a refusal is better for the caller than a failure that may have run. A home on trial receives a trickle of idempotent work.
 * Immutable and thread-safe.
 */
public final class PlacementPolicy {
    private static final double DEFAULT_SERVICE_MILLIS = 200;

    // A free slot goes before a short expected wait: service times that seem short may be out of date.
    private static final double NO_FREE_SLOT_PENALTY_MILLIS = 100;

    // Parts of a request's worth: what an answer after the target loses, what waiting for a whole target costs an
    // answer
    // that is in time, and what the bytes between data centres cost for a request of some kilobytes.
    private static final double LATENESS_COST = 0.7;
    private static final double RESPONSE_TIME_COST = 0.1;
    private static final double CROSS_DATA_CENTRE_COST = 0.05;

    // Expected times err by about half, so lateness is feared from this part of the target on.
    private static final double LATENESS_RISK_START_SHARE = 0.6;
    private static final double DEFAULT_TARGET_MILLIS = 1_000;

    private static final double JITTER_MILLIS = 20;
    private static final double JITTER_SHARE = 0.2;

    // Waits for which work is rather kept away from an upstream that failed a moment ago, or still fails but is held in
    // rotation by the floor.
    private static final double TRIAL_PENALTY_MILLIS = 1_500;
    private static final double UNHEALTHY_PENALTY_MILLIS = 4_000;

    // Among homes with a free slot the emptier one is preferred: a report of its load may be out of date.
    private static final double LOAD_PENALTY_SHARE = 0.2;

    private final Rotation rotation;
    private final double trialShare;

    /**
     * Creates a policy.
     *
     * @param rotation decides which homes may be used at all
     * @param trialShare part of the idempotent work that is offered to homes on trial
     */
    public PlacementPolicy(Rotation rotation, double trialShare) {
        this.rotation = rotation;
        this.trialShare = trialShare;
    }

    /**
     * Returns the home for an attempt; empty if no home of the service is left.
     *
     * @param homes all known homes of the service that aren't leaving
     * @param tried homes that have had this request already
     * @param random source of numbers from 0 to below 1
     */
    public Optional<Choice> choose(
            Collection<HomeView> homes, Set<String> tried, Requirements requirements, DoubleSupplier random) {
        List<HomeView> untried =
                homes.stream().filter(home -> !tried.contains(home.nodeId())).toList();
        if (requirements.idempotent() && tried.isEmpty() && random.getAsDouble() < trialShare) {
            Optional<HomeView> onTrial = randomIdleOnTrial(untried, random);
            if (onTrial.isPresent()) {
                return Optional.of(new Choice(onTrial.get(), false));
            }
        }
        return lowestCost(usable(homes, untried, requirements), requirements, random)
                .map(home -> new Choice(home, home.condition() != HealthCondition.HEALTHY));
    }

    private static Optional<HomeView> randomIdleOnTrial(List<HomeView> homes, DoubleSupplier random) {
        List<HomeView> onTrial = homes.stream()
                .filter(home ->
                        home.condition() == HealthCondition.TRIAL && home.outstandingRequests() == 0 && !home.avoided())
                .toList();
        return onTrial.isEmpty()
                ? Optional.empty()
                : Optional.of(onTrial.get((int) (random.getAsDouble() * onTrial.size())));
    }

    // Most upstreams that are put on trial still fail, and a booking that fails there is lost, so only work that may be
    // repeated goes there while any upstream is healthy.
    private List<HomeView> usable(Collection<HomeView> homes, List<HomeView> untried, Requirements requirements) {
        Set<String> inRotation = inRotation(homes);
        boolean allFail = homes.stream().allMatch(HomeView::failing);
        boolean trialsAllowed = requirements.idempotent()
                || homes.stream().noneMatch(home -> home.condition() == HealthCondition.HEALTHY);
        return untried.stream()
                .filter(home -> home.condition() == HealthCondition.TRIAL
                        ? trialsAllowed
                        : inRotation.contains(home.nodeId()) && (allFail || !home.failing()))
                .toList();
    }

    /** Returns the expected time until a new request at this home is answered, in milliseconds. */
    public static double expectedResponseMillis(HomeView home) {
        return home.expectedWaitMillis()
                + (home.meanServiceMillis() > 0 ? home.meanServiceMillis() : DEFAULT_SERVICE_MILLIS);
    }

    private Set<String> inRotation(Collection<HomeView> homes) {
        List<Candidate> candidates = homes.stream()
                .map(home -> new Candidate(
                        home.nodeId(),
                        Math.max(1, home.slots()),
                        home.condition(),
                        0,
                        Candidate.Override.NONE,
                        false,
                        true))
                .toList();
        return rotation.decide(candidates).values().stream()
                .filter(decision -> decision.use() == RotationDecision.Use.FULL)
                .map(RotationDecision::id)
                .collect(Collectors.toSet());
    }

    private Optional<HomeView> lowestCost(List<HomeView> homes, Requirements requirements, DoubleSupplier random) {
        List<HomeView> notAvoided =
                homes.stream().filter(home -> !home.avoided()).toList();
        double startFraction = random.getAsDouble();
        List<HomeView> candidates = notAvoided.isEmpty() ? homes : notAvoided;
        int offset = (int) (startFraction * Math.max(1, candidates.size()));
        return java.util.stream.IntStream.range(0, candidates.size())
                .mapToObj(index -> candidates.get((index + offset) % candidates.size()))
                .map(home -> new RatedHome(home, expectedCost(home, requirements, random.getAsDouble())))
                .min(Comparator.comparingDouble(RatedHome::cost))
                .map(RatedHome::home);
    }

    // The part of the answer's worth that is expected to be lost. An answer that comes in time is worth nearly all of
    // it
    // whenever it comes, so data centres are crossed for the sake of time only once a wait in the own one endangers
    // that.
    private static double expectedCost(HomeView home, Requirements requirements, double randomFraction) {
        double targetMillis = requirements.targetMillis() > 0 ? requirements.targetMillis() : DEFAULT_TARGET_MILLIS;
        double shareOfTarget = (penalizedResponseMillis(home) + randomFraction * maxJitterMillis(home)) / targetMillis;
        double latenessRisk =
                Math.min(1, Math.max(0, (shareOfTarget - LATENESS_RISK_START_SHARE) / (1 - LATENESS_RISK_START_SHARE)));
        return LATENESS_COST * latenessRisk
                + RESPONSE_TIME_COST * shareOfTarget
                + (home.near() ? 0 : CROSS_DATA_CENTRE_COST);
    }

    private static double penalizedResponseMillis(HomeView home) {
        double load = (double) home.outstandingRequests() / Math.max(1, home.slots());
        return expectedResponseMillis(home) * (1 + LOAD_PENALTY_SHARE * Math.min(1, load))
                + conditionPenaltyMillis(home)
                + (home.outstandingRequests() < home.slots() ? 0 : NO_FREE_SLOT_PENALTY_MILLIS);
    }

    // Entries that know the same must not all choose the same home, and each upstream must be seen at work now and
    // then.
    private static double maxJitterMillis(HomeView home) {
        return JITTER_MILLIS + JITTER_SHARE * expectedResponseMillis(home);
    }

    private static double conditionPenaltyMillis(HomeView home) {
        return switch (home.condition()) {
            case HEALTHY -> 0;
            case TRIAL -> TRIAL_PENALTY_MILLIS;
            case UNHEALTHY -> UNHEALTHY_PENALTY_MILLIS;
        };
    }

    /**
     * What a request needs of its home.
     *
     * @param idempotent whether running it twice is harmless
     * @param targetMillis time within which its answer is in time; 0 when unknown
     */
    public record Requirements(boolean idempotent, double targetMillis) {}

    /**
     * A chosen home.
     *
     * @param home the home as it was seen
     * @param lastResort whether its upstream isn't healthy and the home should run the work all the same
     */
    public record Choice(HomeView home, boolean lastResort) {}

    private record RatedHome(HomeView home, double cost) {}
}
