package org.sardineshunt.coordination.account;

import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.limit.AccountLimiter;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Checks the limit of an account over all nodes, as the nodes' parts work together. */
class AccountLimitTest {
    private static final LimitBounds BOUNDS = new LimitBounds(5_000, 0.1, 20);
    private static final long DURATION_MILLIS = 30_000;

    /** The stated target: in no window more than (rate x window + burst) x (1 + overage) + slack. */
    @Property(seed = "20261206", tries = 300)
    void neverAdmitsMoreThanTheLimitWhateverFails(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 9) int size,
            @ForAll @IntRange(min = 1, max = 75) int rate) {
        Random random = new Random(seed);
        ClientAccount account = account(rate, rate);
        PlayedAccount played = new PlayedAccount(seed, size, BOUNDS, account);
        demand(played, random, size, rate);
        IntStream.range(0, 5)
                .forEach(fault -> played.at(random.nextInt(25_000), randomFault(played, random, size, account)));
        played.play(DURATION_MILLIS);
        assertThat((double) played.maximumInWindow(BOUNDS.windowMillis()), lessThanOrEqualTo(limit(account)));
    }

    /** A lowered limit must not leave tokens of the old one in buckets. */
    @Property(seed = "20261206", tries = 60)
    void keepsALoweredLimitFromTheNextWindowOn(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 9) int size,
            @ForAll @IntRange(min = 1, max = 10) int lowered) {
        PlayedAccount played = new PlayedAccount(seed, size, BOUNDS, account(75, 75));
        played.sendAtRandom(
                0, DURATION_MILLIS, 200, at -> true, IntStream.range(0, size).toArray());
        played.at(10_000, () -> played.setAccount(account(lowered, lowered)));
        played.play(DURATION_MILLIS);
        played.admittedAtMillis.removeIf(millis -> millis < 10_000);
        assertThat(
                (double) played.maximumInWindow(BOUNDS.windowMillis()),
                lessThanOrEqualTo(limit(account(lowered, lowered))));
    }

    /** Callers below their limit must not be refused because another node holds tokens that it doesn't use. */
    @Property(seed = "20261206", tries = 60)
    void refusesAtMostTwoPercentBelowNineTenthsOfTheRate(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 75) int rate,
            @ForAll @DoubleRange(min = 0.3, max = 0.9) double load,
            @ForAll boolean atTwoNodes) {
        PlayedAccount played = new PlayedAccount(seed, 76, BOUNDS, account(rate, rate));
        int[] targets = IntStream.range(0, atTwoNodes ? 2 : 76).toArray();
        AccountLimiter callersLimit = new AccountLimiter(0.9 * rate, Math.max(1, 0.9 * rate), 1);
        LongPredicate staysBelow = millis -> callersLimit.tryAcquire(millis, "shop");
        played.sendAtRandom(0, DURATION_MILLIS, load * rate, staysBelow, targets);
        played.play(DURATION_MILLIS + 1_000);
        int requests = played.admittedAtMillis.size() + played.refusals.size();
        assertThat((double) played.refusals.size(), lessThanOrEqualTo(0.02 * requests));
    }

    /** A round trip for each request would add up to 40 ms to each request of a busy account. */
    @Test
    void fewRequestsOfABusyAccountWaitForTokens() {
        PlayedAccount played = new PlayedAccount(17, 76, BOUNDS, account(75, 75));
        played.sendAtRandom(0, DURATION_MILLIS, 0.8 * 75, at -> true, 0, 1);
        played.play(DURATION_MILLIS + 1_000);
        int admitted = played.admittedAtMillis.size();
        assertThat((double) played.waited, lessThanOrEqualTo(0.1 * admitted));
        assertThat((double) played.messages, lessThanOrEqualTo(0.5 * admitted));
    }

    private void demand(PlayedAccount played, Random random, int size, int rate) {
        long millis = 0;
        while (millis < DURATION_MILLIS) {
            long until = millis + 200 + random.nextInt(4_000);
            int[] targets = random.ints(1 + random.nextInt(size), 0, size).toArray();
            played.sendAtRandom(millis, until, rate * random.nextDouble() * 6 + 0.1, at -> true, targets);
            millis = until;
        }
    }

    private Runnable randomFault(PlayedAccount played, Random random, int size, ClientAccount account) {
        int node = random.nextInt(size);
        long durationMillis = 200 + random.nextInt(6_000);
        int[] parts = random.ints(size, 0, 3).toArray();
        return switch (random.nextInt(4)) {
            case 0 -> () -> played.partition(parts);
            case 1 -> () -> played.partition(new int[size]);
            case 2 -> () -> played.crash(node, durationMillis);
            default -> () -> played.suspend(node, durationMillis);
        };
    }

    private static ClientAccount account(double rate, double burst) {
        return new ClientAccount("shop", OptionalInt.empty(), rate, burst, Set.of());
    }

    private static double limit(ClientAccount account) {
        return account.requestsPerSecond() * BOUNDS.windowMillis() / 1_000 + account.burst() + BOUNDS.excess(account);
    }
}
