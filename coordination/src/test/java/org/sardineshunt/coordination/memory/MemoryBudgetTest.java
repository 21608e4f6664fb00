package org.sardineshunt.coordination.memory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.memory.MemoryBudget.Holder;
import org.sardineshunt.coordination.memory.MemoryBudget.Kind;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class MemoryBudgetTest {
    private static final long CAPACITY = 1_000_000;
    private static final long COMMON_CAPACITY = 900_000;

    private final List<Kind> reported = new ArrayList<>();
    private final List<String> evicted = new ArrayList<>();
    private final MemoryBudget budget = new MemoryBudget(CAPACITY, (kind, bytes, idleMillis) -> reported.add(kind));

    @Test
    void reservesUpToTheCommonCapacity() {
        Holder holder = open("a", 0);

        assertThat(holder.tryReserve(0, COMMON_CAPACITY), is(true));
        assertThat(holder.tryReserve(0, 1), is(false));
        assertThat(budget.reservedBytes(), is(COMMON_CAPACITY));
        assertThat(budget.reservedBytes(Kind.REQUEST), is(COMMON_CAPACITY));
        assertThat(evicted, empty());
    }

    /** Guards against sparing a caller that sends the last bytes of its body very slowly. */
    @Test
    void evictsTheLargestOfHoldersWithTheSameProgress() {
        open("small", 0).tryReserve(0, 100_000);
        open("large", 0).tryReserve(0, 500_000);
        open("medium", 0).tryReserve(0, 300_000);

        assertThat(open("new", 5_000).tryReserve(5_000, 50_000), is(true));

        assertThat(evicted, contains("large"));
        assertThat(reported, contains(Kind.REQUEST));
    }

    @Test
    void evictsTheSlowestOfHoldersOfTheSameSize() {
        Holder fast = open("fast", 0);
        fast.tryReserve(0, 450_000);
        open("slow", 0).tryReserve(0, 450_000);
        fast.recordProgress(4_000);

        assertThat(open("new", 5_000).tryReserve(5_000, 1_000), is(true));

        assertThat(evicted, contains("slow"));
    }

    /** Guards against closing a peer link for its first large frame after a long time without traffic. */
    @Test
    void sparesAHolderThatWasEmptyForLong() {
        Holder link = open("link", 0);
        link.tryReserve(0, 1_000);
        link.release(0, 1_000);
        open("stalled", 55_000).tryReserve(55_000, 500_000);

        assertThat(link.tryReserve(60_000, 300_000), is(true));
        assertThat(open("new", 60_010).tryReserve(60_010, 200_000), is(true));

        assertThat(evicted, contains("stalled"));
    }

    /** Guards against a large new request that pushes out many that are smaller and make progress. */
    @Test
    void refusesAHolderThatWouldBeTheFirstToBeEvicted() {
        open("a", 0).tryReserve(0, 400_000);
        open("b", 0).tryReserve(0, 400_000);

        assertThat(open("new", 0).tryReserve(0, 500_000), is(false));

        assertThat(evicted, empty());
        assertThat(budget.reservedBytes(), is(800_000L));
    }

    @Test
    void evictsNothingForAReservationThatCanNeverFit() {
        open("a", 0).tryReserve(0, 400_000);

        assertThat(open("new", 9_000).tryReserve(9_000, CAPACITY), is(false));

        assertThat(evicted, empty());
    }

    @Test
    void ignoresAnEvictedHolder() {
        Holder victim = open("victim", 0);
        victim.tryReserve(0, COMMON_CAPACITY);
        open("new", 5_000).tryReserve(5_000, 1_000);

        assertThat(victim.tryReserve(5_000, 1), is(false));
        victim.release(5_000, 1_000);
        victim.close();

        assertThat(evicted, contains("victim"));
        assertThat(budget.reservedBytes(), is(1_000L));
    }

    /** Guards against refusing ordinary requests while large bodies use all other memory. */
    @Test
    void movesCompleteSmallRequestsToTheirOwnPart() {
        Holder complete = open("complete", 0);
        complete.tryReserve(0, 50_000);
        complete.markReceived();

        assertThat(open("large", 0).tryReserve(0, COMMON_CAPACITY), is(true));
        assertThat(open("late", 60_000).tryReserve(60_000, 10_000), is(true));

        assertThat(evicted, contains("large"));
        assertThat(budget.reservedBytes(), is(60_000L));
    }

    @Test
    void leavesLargeRequestsInTheCommonPart() {
        Holder complete = open("complete", 0);
        complete.tryReserve(0, MemoryBudget.SMALL_REQUEST_BYTES);
        complete.markReceived();

        assertThat(open("large", 0).tryReserve(0, COMMON_CAPACITY), is(false));
    }

    /** Random holders: the capacity holds, the count matches, and a holder is evicted at most once. */
    @Property(tries = 300, seed = "2207")
    void staysWithinItsCapacity(@ForAll long seed) {
        Random random = new Random(seed);
        Map<Holder, Long> expected = new HashMap<>();
        List<Holder> open = new ArrayList<>();
        MemoryBudget played = new MemoryBudget(CAPACITY, (kind, bytes, idleMillis) -> {});
        for (long now = 0; now < 400; now++) {
            if (open.isEmpty() || random.nextInt(4) == 0) {
                open.add(openPlayed(played, now, expected, random));
            }
            Holder holder = open.get(random.nextInt(open.size()));
            playStep(random, now, holder, expected);
            long sum = expected.values().stream().mapToLong(Long::longValue).sum();
            assertThat(played.reservedBytes(), is(sum));
            assertThat(sum, lessThanOrEqualTo(CAPACITY));
        }
        open.forEach(Holder::close);
        assertThat(played.reservedBytes(), is(0L));
        assertThat(
                List.of(Kind.values()).stream()
                        .filter(kind -> played.reservedBytes(kind) != 0)
                        .toList(),
                hasSize(0));
    }

    private static Holder openPlayed(MemoryBudget played, long now, Map<Holder, Long> expected, Random random) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        Holder[] holder = new Holder[1];
        holder[0] = played.open(kind, now, () -> assertThat(expected.remove(holder[0]) != null, is(true)));
        return holder[0];
    }

    private static void playStep(Random random, long now, Holder holder, Map<Holder, Long> expected) {
        int bytes = 1 + random.nextInt(random.nextBoolean() ? 400_000 : 40_000);
        switch (random.nextInt(6)) {
            case 0 -> {
                holder.release(now, bytes);
                expected.computeIfPresent(holder, (key, reserved) -> Math.max(0, reserved - bytes));
            }
            case 1 -> {
                holder.close();
                expected.remove(holder);
            }
            case 2 -> holder.markReceived();
            default -> {
                if (holder.tryReserve(now, bytes)) {
                    expected.merge(holder, (long) bytes, Long::sum);
                }
            }
        }
    }

    private Holder open(String name, long now) {
        return budget.open(Kind.REQUEST, now, () -> evicted.add(name));
    }
}
