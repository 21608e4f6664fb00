package org.sardineshunt.coordination.rotation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

class RotationTest {
    private static final long SEED = 20261204;

    @Property(seed = "20261204")
    void capacityInUseIsNeverBelowTheFloor(
            @ForAll("candidates") List<Candidate> candidates, @ForAll @DoubleRange(min = 0, max = 1) double share) {
        Rotation rotation = Rotation.builder().floorShare(share).build();

        int inUse = slots(candidates, rotation.decide(candidates));

        assertThat(inUse, greaterThanOrEqualTo(rotation.floorSlots(candidates)));
    }

    @Property(seed = "20261204")
    void leavingAndUnreachableUpstreamsReceiveNoWork(@ForAll("candidates") List<Candidate> candidates) {
        Map<String, RotationDecision> decisions = Rotation.builder().build().decide(candidates);

        candidates.stream()
                .filter(candidate -> candidate.leaving() || !candidate.reachable())
                .forEach(candidate -> assertThat(decisions.get(candidate.id()).use(), is(RotationDecision.Use.NONE)));
    }

    @Property(seed = "20261204")
    void resultDoesNotDependOnTheOrderOfCandidates(@ForAll("candidates") List<Candidate> candidates) {
        List<Candidate> shuffled = new ArrayList<>(candidates);
        Collections.shuffle(shuffled, new Random(SEED));
        Rotation rotation = Rotation.builder().build();

        assertThat(rotation.decide(shuffled), equalTo(rotation.decide(candidates)));
    }

    @Property(seed = "20261204")
    void upstreamsKeptInByOverrideReceiveWorkWhateverTheirHealth(@ForAll("candidates") List<Candidate> candidates) {
        Map<String, RotationDecision> decisions = Rotation.builder().build().decide(candidates);

        candidates.stream()
                .filter(candidate -> candidate.override() == Candidate.Override.KEEP_IN)
                .filter(candidate -> !candidate.leaving() && candidate.reachable())
                .forEach(candidate -> assertThat(decisions.get(candidate.id()).use(), is(RotationDecision.Use.FULL)));
    }

    @Test
    void drainThatWouldBreakTheFloorIsHeldBack() {
        List<Candidate> candidates = IntStream.range(0, 4)
                .mapToObj(number -> candidate("u" + number, HealthCondition.HEALTHY, Candidate.Override.DRAIN))
                .toList();

        Map<String, RotationDecision> decisions =
                Rotation.builder().floorShare(0.5).build().decide(candidates);

        assertThat(decisions.get("u0").cause(), is(RotationDecision.Cause.DRAIN_HELD_BY_FLOOR));
        assertThat(decisions.get("u1").cause(), is(RotationDecision.Cause.DRAIN_HELD_BY_FLOOR));
        assertThat(decisions.get("u2").cause(), is(RotationDecision.Cause.DRAINED));
    }

    @Test
    void unhealthyUpstreamIsReinstatedBeforeADrainedOne() {
        List<Candidate> candidates = List.of(
                candidate("drained", HealthCondition.HEALTHY, Candidate.Override.DRAIN),
                candidate("unhealthy", HealthCondition.UNHEALTHY, Candidate.Override.NONE));

        Map<String, RotationDecision> decisions =
                Rotation.builder().floorShare(0.5).build().decide(candidates);

        assertThat(decisions.get("unhealthy").cause(), is(RotationDecision.Cause.HELD_BY_FLOOR));
        assertThat(decisions.get("drained").use(), is(RotationDecision.Use.NONE));
    }

    @Provide
    Arbitrary<List<Candidate>> candidates() {
        Arbitrary<Candidate> candidate = Combinators.combine(
                        Arbitraries.integers().between(0, 8),
                        Arbitraries.of(HealthCondition.class),
                        Arbitraries.integers().between(0, 8),
                        Arbitraries.of(Candidate.Override.class),
                        Arbitraries.of(true, false, false, false),
                        Arbitraries.of(true, true, true, false))
                .as((slots, condition, severity, override, leaving, reachable) ->
                        new Candidate("x", slots, condition, severity, override, leaving, reachable));
        return candidate.list().ofMaxSize(12).map(RotationTest::withIds);
    }

    private static List<Candidate> withIds(List<Candidate> withoutIds) {
        return IntStream.range(0, withoutIds.size())
                .mapToObj(number -> {
                    Candidate candidate = withoutIds.get(number);
                    return new Candidate(
                            "u" + number,
                            candidate.slots(),
                            candidate.condition(),
                            candidate.severity(),
                            candidate.override(),
                            candidate.leaving(),
                            candidate.reachable());
                })
                .toList();
    }

    private static Candidate candidate(String id, HealthCondition condition, Candidate.Override override) {
        return new Candidate(id, 4, condition, 1, override, false, true);
    }

    private static int slots(List<Candidate> candidates, Map<String, RotationDecision> decisions) {
        return candidates.stream()
                .filter(candidate -> decisions.get(candidate.id()).use() == RotationDecision.Use.FULL)
                .mapToInt(Candidate::slots)
                .sum();
    }
}
