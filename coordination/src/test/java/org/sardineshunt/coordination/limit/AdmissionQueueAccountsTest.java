package org.sardineshunt.coordination.limit;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Rank;
import org.sardineshunt.coordination.limit.PlayedLoad.Work;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Plays four accounts with their usual load beside one that sends ten times its usual load, together twice the capacity,
 * and what the queue does with work of single accounts.
 */
class AdmissionQueueAccountsTest {
    private static final double SERVICE_MILLIS = 300;
    private static final double USUAL_PER_SECOND = 2;
    private static final int QUEUE_LIMIT = 64;

    private final AdmissionQueue<Work> queue = queue(4);

    /** Without turns the others are refused as often as the account that causes the overload. */
    @Test
    void anAccountThatSendsTenTimesItsUsualLoadAffectsTheOthersLittle() {
        double servedInTurn = lowestServedShareOfOthers(true);
        double servedTogether = lowestServedShareOfOthers(false);
        assertThat(servedInTurn, greaterThanOrEqualTo(0.95));
        assertThat(servedTogether, lessThan(servedInTurn));
    }

    /** The stated target: no account is served less than a quarter as often as all. */
    @Test
    void servesNoAccountLessThanAQuarterAsOftenAsAll() {
        Work longWork = new Work("rank", "long", 1_200, 1_500, 6_000, 1);
        Work shortWork = new Work("rank", "short", 100, 400, 1_000, 20);
        Work otherWork = new Work("rank", "other", 300, 1_500, 6_000, 20);
        List<Work> kinds = List.of(longWork, shortWork, otherWork);
        PlayedLoad load = new PlayedLoad(17, queue, 1);
        load.play(kinds);
        double arrived = kinds.stream().mapToDouble(Work::perSecond).sum();
        double servedOfAll = kinds.stream()
                        .mapToDouble(work -> load.result(work).servedShare() * work.perSecond())
                        .sum()
                / arrived;
        kinds.forEach(work ->
                assertThat(work.account(), load.result(work).servedShare(), greaterThanOrEqualTo(servedOfAll / 4)));
    }

    @Test
    void refusesWorkOfTheLargestAccountWhenTheQueueIsFull() {
        fill("large", QUEUE_LIMIT - 1);
        offer("small", 0);
        assertThat(queue.makeRoom(1, item("large", 1)).isPresent(), is(false));
        WorkItem<Work> displaced = queue.makeRoom(1, item("small", 2)).orElseThrow();
        assertThat(displaced.account(), is("large"));
        assertThat(queue.offer(1, item("small", 2)).isRight(), is(true));
    }

    @Test
    void makesNoRoomForWorkOfOneOfTheLargestAccounts() {
        fill("first", QUEUE_LIMIT / 2);
        fill("second", QUEUE_LIMIT / 2);
        assertThat(queue.makeRoom(1, item("second", 1)).isPresent(), is(false));
        assertThat(queue.makeRoom(1, item("", 1)).isPresent(), is(true));
    }

    /** An account must not collect turns while it sends nothing, and then hold all slots. */
    @Test
    void anIdleAccountSavesUpNoTurns() {
        AdmissionQueue<Work> single = queue(1);
        IntStream.range(0, 100).forEach(index -> {
            single.offer(0, item("busy", index));
            single.finish(0, -1);
        });
        single.offer(0, item("running", 0));
        IntStream.range(200, 204)
                .forEach(index -> List.of("busy", "idle").forEach(account -> single.offer(0, item(account, index))));
        long ofIdle = Stream.generate(() -> single.finish(0, -1).get(0))
                .limit(4)
                .filter(item -> item.account().equals("idle"))
                .count();
        assertThat(ofIdle, is(2L));
    }

    private double lowestServedShareOfOthers(boolean inTurn) {
        List<Work> kinds = IntStream.range(0, 5)
                .mapToObj(index -> new Work(
                        "rank",
                        inTurn ? "account" + index : "",
                        // Kinds that differ, because results are kept by kind.
                        SERVICE_MILLIS + index,
                        1_500,
                        6_000,
                        index == 0 ? 10 * USUAL_PER_SECOND : USUAL_PER_SECOND))
                .toList();
        PlayedLoad load = new PlayedLoad(17, queue(4), 1);
        load.play(kinds);
        return kinds.stream()
                .skip(1)
                .mapToDouble(work -> load.result(work).servedShare())
                .min()
                .orElseThrow();
    }

    private void fill(String account, int count) {
        queue.setConcurrencyLimit(0, 0);
        IntStream.range(0, count).forEach(index -> offer(account, index));
    }

    private void offer(String account, int index) {
        assertThat(queue.offer(0, item(account, index)).isRight(), is(true));
    }

    private static WorkItem<Work> item(String account, int index) {
        return new WorkItem<>(account + index, "rank", account, 1_000_000, 900_000 + index, SERVICE_MILLIS, null);
    }

    private static AdmissionQueue<Work> queue(int slots) {
        return AdmissionQueue.<Work>builder()
                .ranks(List.of(new Rank("rank", 0, 0)))
                .slots(slots)
                .queueLimit(QUEUE_LIMIT)
                .initialServiceMillis(SERVICE_MILLIS)
                .build();
    }
}
