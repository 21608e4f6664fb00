package org.sardineshunt.coordination.placement;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.placement.PlacementPolicy.Requirements;
import org.sardineshunt.coordination.rotation.HealthCondition;
import org.sardineshunt.coordination.rotation.Rotation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class PlacementPolicyTest {
    private static final Requirements BOOKING = new Requirements(false, 1_500);
    private static final Requirements LOOKUP = new Requirements(true, 1_500);

    private final PlacementPolicy policy =
            new PlacementPolicy(Rotation.builder().floorShare(0.7).build(), 0.2);

    @Test
    void staysInTheOwnDataCentreWhileTheWaitThereIsShort() {
        assertThat(chosen(BOOKING, near("a", 4), far("b", 0)), is("a"));
    }

    @Test
    void goesToAnotherDataCentreWhenTheWaitIsLong() {
        assertThat(chosen(BOOKING, near("a", 12), far("b", 0)), is("b"));
    }

    /** The own data centre has twice the load that it can serve; waiting there would make every answer late. */
    @Test
    void leavesAFullDataCentreAsSoonAsAnswersThereWouldBeLate() {
        assertThat(chosen(BOOKING, near("a", 8), far("b", 6)), is("b"));
        assertThat(chosen(new Requirements(false, 8_000), near("a", 8), far("b", 6)), is("a"));
    }

    /** Large responses filled the narrow links between data centres although the own one would have served them, too. */
    @Test
    void keepsLargeTransfersInTheOwnDataCentreUnlessTheyWouldBeLate() {
        Requirements small = new Requirements(true, 1_500, 4_000, 5_000);
        Requirements large = new Requirements(true, 1_500, 4_000, 100_000);
        assertThat(chosen(small, near("a", 6), far("b", 0)), is("b"));
        assertThat(chosen(large, near("a", 6), far("b", 0)), is("a"));
        assertThat(chosen(large, near("a", 12), far("b", 0)), is("b"));
    }

    /** In an overload over half of the attempts went to other data centres, which refused three in four of them. */
    @Test
    void prefersTheOwnDataCentreAfterRefusals() {
        Requirements requirements = new Requirements(true, 1_500, 4_000, 5_000);
        List<HomeView> homes = List.of(near("a", 20), far("b", 12));
        assertThat(chosenAfter(Set.of(), requirements, homes), is("b"));
        assertThat(chosenAfter(Set.of("x", "y"), requirements, homes), is("a"));
    }

    /** In an overload every answer is late; work was refused although another data centre would have served it late. */
    @Test
    void prefersALateAnswerElsewhereToARefusalInTheOwnDataCentre() {
        Requirements requirements = new Requirements(false, 1_500, 2_400, 5_000);
        assertThat(chosen(requirements, near("a", 17), far("b", 14)), is("b"));
        assertThat(chosen(requirements, near("a", 40), far("b", 40)), is("a"));
    }

    /** Requests that used to take 1 ms hang now; they must not pile up at a full home while another is idle. */
    @Test
    void prefersAFreeSlotToAShortExpectedWait() {
        HomeView full = home("full", true, 4, 1, HealthCondition.HEALTHY);
        HomeView idle = home("idle", true, 0, 1, HealthCondition.HEALTHY);
        double[] randomNumbers = {0, 0, 1};
        int[] next = {0};
        String chosen = policy.choose(List.of(full, idle), Set.of(), BOOKING, () -> randomNumbers[next[0]++])
                .orElseThrow()
                .home()
                .nodeId();
        assertThat(chosen, is("idle"));
    }

    /**
     * Guards against idle slots beside a queue: one home had answered 100 requests in 4 ms, the other two little more
     * than the assumed 300 ms, so 36 hanging requests all went to the four slots of the first.
     */
    @Test
    void fillsTheFreeSlotsOfHomesThatSeemSlowBeforeRequestsWait() {
        int[] outstanding = {0, 0, 0};
        Random random = new Random(20_261_206);
        IntStream.range(0, 12).forEach(request -> {
            List<HomeView> homes = List.of(
                    home("0", true, outstanding[0], 4, HealthCondition.HEALTHY),
                    home("1", true, outstanding[1], 298, HealthCondition.HEALTHY),
                    home("2", true, outstanding[2], 572, HealthCondition.HEALTHY));
            PlacementPolicy.Choice choice =
                    policy.choose(homes, Set.of(), BOOKING, random::nextDouble).orElseThrow();
            outstanding[Integer.parseInt(choice.home().nodeId())]++;
        });
        assertThat(List.of(outstanding[0], outstanding[1], outstanding[2]), is(List.of(4, 4, 4)));
    }

    @Test
    void waitsAtAFullHomeRatherThanTakeAFreeSlotWhereTheAnswerWouldBeLate() {
        HomeView full = home("full", true, 4, 100, HealthCondition.HEALTHY);

        assertThat(chosen(BOOKING, full, home("slow", true, 0, 1_400, HealthCondition.HEALTHY)), is("full"));
        assertThat(chosen(BOOKING, full, home("gray", true, 0, 5, HealthCondition.UNHEALTHY)), is("full"));
        assertThat(chosen(BOOKING, full, home("far", false, 0, 400, HealthCondition.HEALTHY)), is("full"));
    }

    @Test
    void prefersTheFasterUpstream() {
        assertThat(
                chosen(
                        BOOKING,
                        home("slow", true, 0, 900, HealthCondition.HEALTHY),
                        home("fast", true, 2, 400, HealthCondition.HEALTHY)),
                is("fast"));
    }

    /** An upstream with a gray failure fails requests immediately, so it looks idle; that must not attract work. */
    @Test
    void avoidsAnIdleUnhealthyUpstreamHeldInRotationByTheFloor() {
        assertThat(
                chosen(BOOKING, home("gray", true, 0, 5, HealthCondition.UNHEALTHY), near("a", 9), near("b", 9)),
                is("a"));
    }

    /** In a flood all healthy homes refuse; the work must not go to the failing one that accepts everything. */
    @Test
    void offersNothingToAFailingUpstreamAfterHealthyOnesRefused() {
        HomeView gray = home("gray", true, 0, 5, HealthCondition.UNHEALTHY);
        assertThat(
                policy.choose(List.of(gray, near("a", 9)), Set.of("a"), BOOKING, () -> 0)
                        .isEmpty(),
                is(true));
    }

    @Test
    void usesUnhealthyHomesWhenNoOthersAreLeft() {
        assertThat(chosen(BOOKING, home("gray", true, 0, 5, HealthCondition.UNHEALTHY)), is("gray"));
    }

    @Test
    void triesAnUpstreamOnTrialOnlyWithIdempotentWork() {
        HomeView onTrial = home("trial", true, 0, 400, HealthCondition.TRIAL);
        assertThat(chosen(LOOKUP, onTrial, near("a", 0), near("b", 0), near("c", 0)), is("trial"));
        assertThat(chosen(BOOKING, onTrial, near("a", 0), near("b", 0), near("c", 0)), is("a"));
    }

    /** An upstream on trial mostly fails again, and a booking that fails there can't be repeated. */
    @Test
    void keepsBookingsAwayFromAHomeOnTrialHoweverLongOthersTake() {
        HomeView onTrial = home("trial", true, 0, 5, HealthCondition.TRIAL);

        assertThat(chosen(BOOKING, onTrial, near("a", 40)), is("a"));
        assertThat(
                policy.choose(List.of(onTrial, near("a", 40)), Set.of("a"), BOOKING, () -> 0)
                        .isEmpty(),
                is(true));
        assertThat(chosen(BOOKING, onTrial), is("trial"));
    }

    @Test
    void spreadsTrialsOverAllHomesOnTrial() {
        HomeView first = home("first", true, 0, 5, HealthCondition.TRIAL);
        HomeView second = home("second", true, 0, 5, HealthCondition.TRIAL);
        double[] randomNumbers = {0, 0.9};
        int[] next = {0};

        PlacementPolicy.Choice choice = policy.choose(
                        List.of(first, second, near("a", 0)), Set.of(), LOOKUP, () -> randomNumbers[next[0]++])
                .orElseThrow();

        assertThat(choice.home().nodeId(), is("second"));
        assertThat("a trial is not a last resort", choice.lastResort(), is(false));
    }

    @Test
    void triesNoHomeTwice() {
        assertThat(
                policy.choose(List.of(near("a", 0), near("b", 8)), Set.of("a"), BOOKING, () -> 0)
                        .orElseThrow()
                        .home()
                        .nodeId(),
                is("b"));
        assertThat(
                policy.choose(List.of(near("a", 0)), Set.of("a"), BOOKING, () -> 0)
                        .isEmpty(),
                is(true));
    }

    private String chosen(Requirements requirements, HomeView... homes) {
        return policy.choose(List.of(homes), Set.of(), requirements, () -> 0)
                .orElseThrow()
                .home()
                .nodeId();
    }

    private String chosenAfter(Set<String> tried, Requirements requirements, List<HomeView> homes) {
        return policy.choose(homes, tried, requirements, () -> 0)
                .orElseThrow()
                .home()
                .nodeId();
    }

    private static HomeView near(String nodeId, int outstandingRequests) {
        return home(nodeId, true, outstandingRequests, 400, HealthCondition.HEALTHY);
    }

    private static HomeView far(String nodeId, int outstandingRequests) {
        return home(nodeId, false, outstandingRequests, 400, HealthCondition.HEALTHY);
    }

    private static HomeView home(
            String nodeId, boolean near, int outstandingRequests, double serviceMillis, HealthCondition condition) {
        double waitMillis = Math.max(0, outstandingRequests - 3) * serviceMillis / 4;
        return new HomeView(
                nodeId,
                near,
                4,
                outstandingRequests,
                waitMillis,
                serviceMillis,
                condition,
                condition == HealthCondition.UNHEALTHY,
                false);
    }
}
