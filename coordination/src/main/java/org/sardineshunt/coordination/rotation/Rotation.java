package org.sardineshunt.coordination.rotation;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Decides which upstreams of one service receive work.
 *
 * <pre>{@code
 * Rotation rotation = Rotation.builder().floorShare(0.5).build();
 * Map<String, RotationDecision> decisions = rotation.decide(candidates);
 * }</pre>
 *
 * <p>The capacity in full use is never below the floor if the candidates that can serve suffice for it. The floor is a
 * share of the slots of all candidates that are reachable and not leaving; ejected and drained ones are reinstated,
 * least severe first, until it is reached. The result depends on the candidates alone, not on their order, so nodes
 * with the same view decide alike. Immutable and thread-safe.
 */
public final class Rotation {
    // Drained candidates come last, the others by health; the id decides between equals, so the order is total.
    private static final Comparator<Candidate> REINSTATEMENT_ORDER = Comparator.comparing(
                    (Candidate candidate) -> candidate.override() == Candidate.Override.DRAIN)
            .thenComparing(Candidate::condition)
            .thenComparingInt(Candidate::severity)
            .thenComparing(Candidate::id);

    private final double floorShare;

    private Rotation(double floorShare) {
        this.floorShare = floorShare;
    }

    /** Returns a builder with a floor of half of the capacity. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns how many slots must stay in full use, given these candidates. */
    public int floorSlots(Collection<Candidate> candidates) {
        int available = candidates.stream()
                .filter(Rotation::canServe)
                .mapToInt(Candidate::slots)
                .sum();
        // The small subtrahend keeps a rounding error of the product from adding a slot.
        return (int) Math.ceil(available * floorShare - 1e-9);
    }

    /** Returns the decision for every candidate by its id, in the order of the ids. */
    public Map<String, RotationDecision> decide(Collection<Candidate> candidates) {
        Map<String, RotationDecision> decisions = new LinkedHashMap<>();
        candidates.stream()
                .sorted(Comparator.comparing(Candidate::id))
                .forEach(candidate -> decisions.put(candidate.id(), decideWithoutFloor(candidate)));
        reinstateUntilFloor(candidates, decisions);
        return decisions;
    }

    private void reinstateUntilFloor(Collection<Candidate> candidates, Map<String, RotationDecision> decisions) {
        int missingSlots = floorSlots(candidates) - slotsInUse(candidates, decisions);
        List<Candidate> notInFullUse = candidates.stream()
                .filter(Rotation::canServe)
                .filter(candidate -> decisions.get(candidate.id()).use() != RotationDecision.Use.FULL)
                .sorted(REINSTATEMENT_ORDER)
                .toList();
        for (Candidate candidate : notInFullUse) {
            if (missingSlots <= 0) {
                return;
            }
            RotationDecision.Cause cause = candidate.override() == Candidate.Override.DRAIN
                    ? RotationDecision.Cause.DRAIN_HELD_BY_FLOOR
                    : RotationDecision.Cause.HELD_BY_FLOOR;
            decisions.put(candidate.id(), new RotationDecision(candidate.id(), RotationDecision.Use.FULL, cause));
            missingSlots -= candidate.slots();
        }
    }

    private static int slotsInUse(Collection<Candidate> candidates, Map<String, RotationDecision> decisions) {
        return candidates.stream()
                .filter(candidate -> decisions.get(candidate.id()).use() == RotationDecision.Use.FULL)
                .mapToInt(Candidate::slots)
                .sum();
    }

    private static boolean canServe(Candidate candidate) {
        return candidate.reachable() && !candidate.leaving();
    }

    private static RotationDecision decideWithoutFloor(Candidate candidate) {
        return Stream.of(
                        rule(candidate.leaving(), RotationDecision.Use.NONE, RotationDecision.Cause.LEAVING),
                        rule(!candidate.reachable(), RotationDecision.Use.NONE, RotationDecision.Cause.UNREACHABLE),
                        rule(
                                candidate.override() == Candidate.Override.KEEP_IN,
                                RotationDecision.Use.FULL,
                                RotationDecision.Cause.KEPT_BY_OVERRIDE),
                        rule(
                                candidate.override() == Candidate.Override.DRAIN,
                                RotationDecision.Use.NONE,
                                RotationDecision.Cause.DRAINED),
                        rule(
                                candidate.condition() == HealthCondition.UNHEALTHY,
                                RotationDecision.Use.NONE,
                                RotationDecision.Cause.UNHEALTHY),
                        rule(
                                candidate.condition() == HealthCondition.TRIAL,
                                RotationDecision.Use.TRIAL,
                                RotationDecision.Cause.ON_TRIAL))
                .filter(Rule::applies)
                .findFirst()
                .map(rule -> new RotationDecision(candidate.id(), rule.use(), rule.cause()))
                .orElseGet(() -> new RotationDecision(
                        candidate.id(), RotationDecision.Use.FULL, RotationDecision.Cause.HEALTHY));
    }

    private static Rule rule(boolean applies, RotationDecision.Use use, RotationDecision.Cause cause) {
        return new Rule(applies, use, cause);
    }

    private record Rule(boolean applies, RotationDecision.Use use, RotationDecision.Cause cause) {}

    /** Builds a {@link Rotation}. Not thread-safe. */
    public static final class Builder {
        private double floorShare = 0.5;

        private Builder() {}

        /**
         * Sets the share of the slots of reachable upstreams that stays in full use; those that leave don't count.
         *
         * @param share between 0 and 1
         * @throws IllegalArgumentException if the share is out of range
         */
        public Builder floorShare(double share) {
            if (!(share >= 0 && share <= 1)) {
                throw new IllegalArgumentException("floor share " + share + " is not between 0 and 1");
            }
            floorShare = share;
            return this;
        }

        /** Returns the rotation. */
        public Rotation build() {
            return new Rotation(floorShare);
        }
    }
}
