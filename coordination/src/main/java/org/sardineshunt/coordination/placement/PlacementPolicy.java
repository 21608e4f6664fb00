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
 * Chooses the home of the next attempt: the one where an answer is most likely on time, in the own data centre as long
 * as it is on time there too. Evens out load when the upstreams of one data centre are full while others have free
 * slots.
 *
 * <pre>{@code
 * PlacementPolicy policy = new PlacementPolicy(Rotation.builder().floorShare(0.7).build(), 0.05);
 * Requirements requirements = new Requirements(true, 1_500);
 * Optional<PlacementPolicy.Choice> choice = policy.choose(homes, tried, requirements, random::nextDouble);
 * }</pre>
 *
 * <p>Unhealthy homes are left out, down to the rotation's floor. Those that fail requests are used only if all homes of
 * the service do: a refusal is better for the caller than a failure that may have run. A home on trial receives only a
 * share of the idempotent work. Immutable and thread-safe.
 */
public final class PlacementPolicy {
    // Assumed while neither the home nor its service has reported a service time.
    private static final double DEFAULT_SERVICE_MILLIS = 200;

    // A free slot is preferred to a short expected wait: service times that seem short may be out of date.
    private static final double NO_FREE_SLOT_PENALTY_MILLIS = 100;

    // Costs as shares of the request's worth: of an answer after the target, of a refusal beyond that, of a response
    // time as long as the target, and of the traffic between data centres for a request of some kilobytes.
    private static final double LATENESS_COST = 0.7;
    private static final double REFUSAL_COST = 0.3;
    private static final double RESPONSE_TIME_COST = 0.1;
    private static final double CROSS_DATA_CENTRE_COST = 0.05;

    // Links between data centres are narrow, so larger requests and responses cost more, but never as much as an
    // answer that is late.
    private static final double SMALL_TRANSFER_BYTES = 10_000;
    private static final double MAXIMUM_CROSS_DATA_CENTRE_COST = 0.4;

    // Expected times are off by about half, so work that is expected to take this share of its time left may be
    // refused.
    private static final double REFUSAL_RISK_START_SHARE = 0.7;

    // Expected times are off by about half, so from this share of the target on an answer may be late.
    private static final double LATENESS_RISK_START_SHARE = 0.6;

    // Assumed for requests whose target latency is unknown.
    private static final double DEFAULT_TARGET_MILLIS = 1_000;

    private static final double JITTER_MILLIS = 20;
    private static final double JITTER_SHARE = 0.2;

    // Added to the expected response time of homes on trial and of unhealthy ones, so that work waits elsewhere
    // instead. Otherwise unhealthy upstreams that the floor holds in rotation receive as much work as healthy ones.
    private static final double TRIAL_PENALTY_MILLIS = 1_500;
    private static final double UNHEALTHY_PENALTY_MILLIS = 4_000;

    // Prefers the emptier one of two homes with free slots, since a report of their load may be out of date.
    private static final double LOAD_PENALTY_SHARE = 0.2;

    private final Rotation rotation;
    private final double trialShare;

    /**
     * Creates a policy.
     *
     * @param rotation decides which homes may be used at all
     * @param trialShare share of the idempotent work that is offered to homes on trial
     */
    public PlacementPolicy(Rotation rotation, double trialShare) {
        this.rotation = rotation;
        this.trialShare = trialShare;
    }

    /**
     * Returns the home for an attempt; empty if no home of the service is left.
     *
     * @param homes all known homes of the service that aren't leaving
     * @param tried ids of the homes that have received this request already
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
        return lowestCost(usable(homes, untried, requirements), requirements.afterAttempts(tried.size()), random)
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

    // Most upstreams on trial still fail, and a request that isn't idempotent can't be repeated after that, so only
    // idempotent work goes there while any upstream is healthy.
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

    // Returns the expected time until a new request at this home is answered, in milliseconds.
    private static double expectedResponseMillis(HomeView home) {
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
        List<HomeView> candidates =
                withoutNeedlessWaits(notAvoided.isEmpty() ? homes : notAvoided, requirements.targetMillis());
        int offset = (int) (startFraction * Math.max(1, candidates.size()));
        return java.util.stream.IntStream.range(0, candidates.size())
                .mapToObj(index -> candidates.get((index + offset) % candidates.size()))
                .map(home -> new RatedHome(home, expectedCost(home, requirements, random.getAsDouble())))
                .min(Comparator.comparingDouble(RatedHome::cost))
                .map(RatedHome::home);
    }

    // Leaves out full homes while a healthy one of the own data centre has a free slot and answers in time. The wait at
    // a full home is known only from service times of earlier requests: after 100 requests of 4 ms there, and 2 at the
    // other homes, an entry queued 28 hanging requests at that home while 8 slots of the others stayed free.
    private static List<HomeView> withoutNeedlessWaits(List<HomeView> homes, double targetMillis) {
        boolean freeSlotInTime = homes.stream()
                .anyMatch(home -> home.near()
                        && home.condition() == HealthCondition.HEALTHY
                        && hasFreeSlot(home)
                        && latenessRisk(home, targetMillis, 1) == 0);
        return freeSlotInTime
                ? homes.stream().filter(PlacementPolicy::hasFreeSlot).toList()
                : homes;
    }

    private static boolean hasFreeSlot(HomeView home) {
        return home.outstandingRequests() < home.slots();
    }

    // The share of the answer's worth that is expected to be lost. An answer within the target is worth nearly all of
    // it whenever it arrives, so another data centre is used to save time only once the wait in the own one endangers
    // the target.
    private static double expectedCost(HomeView home, Requirements requirements, double randomFraction) {
        double responseMillis = penalizedResponseMillis(home) + randomFraction * maximumJitterMillis(home);
        return LATENESS_COST * latenessRisk(home, requirements.targetMillis(), randomFraction)
                + REFUSAL_COST * risk(responseMillis / requirements.leftMillis(), REFUSAL_RISK_START_SHARE)
                + RESPONSE_TIME_COST * shareOfTarget(home, requirements.targetMillis(), randomFraction)
                + (home.near() ? 0 : crossDataCentreCost(requirements));
    }

    // Each attempt that another data centre refuses has crossed the link for nothing, so it costs more with each of
    // them.
    private static double crossDataCentreCost(Requirements requirements) {
        double size = Math.max(1, requirements.transferBytes() / SMALL_TRANSFER_BYTES);
        return Math.min(MAXIMUM_CROSS_DATA_CENTRE_COST, CROSS_DATA_CENTRE_COST * size);
    }

    private static double latenessRisk(HomeView home, double targetMillis, double randomFraction) {
        return risk(shareOfTarget(home, targetMillis, randomFraction), LATENESS_RISK_START_SHARE);
    }

    private static double shareOfTarget(HomeView home, double targetMillis, double randomFraction) {
        return (penalizedResponseMillis(home) + randomFraction * maximumJitterMillis(home))
                / (targetMillis > 0 ? targetMillis : DEFAULT_TARGET_MILLIS);
    }

    // Grows from 0 at the start share to 1 at a share of 1.
    private static double risk(double share, double startShare) {
        return Math.min(1, Math.max(0, (share - startShare) / (1 - startShare)));
    }

    private static double penalizedResponseMillis(HomeView home) {
        double load = (double) home.outstandingRequests() / Math.max(1, home.slots());
        return expectedResponseMillis(home) * (1 + LOAD_PENALTY_SHARE * Math.min(1, load))
                + conditionPenaltyMillis(home)
                + (hasFreeSlot(home) ? 0 : NO_FREE_SLOT_PENALTY_MILLIS);
    }

    // Entries with the same knowledge must not all choose the same home, and each upstream must receive work now and
    // then so that its state is observed.
    private static double maximumJitterMillis(HomeView home) {
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
     * What a request requires of its home.
     *
     * @param idempotent whether running it twice is harmless
     * @param targetMillis time within which its answer is on time; 0 when unknown
     * @param leftMillis time until its deadline
     * @param transferBytes expected size of the request and its response together; 0 when unknown
     */
    public record Requirements(boolean idempotent, double targetMillis, double leftMillis, double transferBytes) {
        /** Creates requirements of a small request without a deadline. */
        public Requirements(boolean idempotent, double targetMillis) {
            this(idempotent, targetMillis, Double.POSITIVE_INFINITY, 0);
        }

        private Requirements afterAttempts(int attempts) {
            double sentBytes = Math.max(SMALL_TRANSFER_BYTES, transferBytes) * (1 + attempts);
            return attempts == 0 ? this : new Requirements(idempotent, targetMillis, leftMillis, sentBytes);
        }
    }

    /**
     * A chosen home.
     *
     * @param home what the entry knew of the home when it was chosen
     * @param lastResort whether the home should run the work although its upstream isn't healthy
     */
    public record Choice(HomeView home, boolean lastResort) {}

    private record RatedHome(HomeView home, double cost) {}
}
