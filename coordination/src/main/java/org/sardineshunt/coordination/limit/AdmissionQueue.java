package org.sardineshunt.coordination.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Rank;
import org.sardineshunt.coordination.Reason;

/**
 * Admission queue in front of the slots of one upstream: starts, queues or refuses work.
 *
 * <pre>{@code
 * AdmissionQueue<Call> queue = AdmissionQueue.<Call>builder().ranks(ranks).slots(4).build();
 * Either<Reason, Boolean> startedNow = queue.offer(nowMillis, item);
 * List<WorkItem<Call>> next = queue.finish(nowMillis, serviceMillis);
 * }</pre>
 *
 * <p>Waiting work starts in rank order and, within a rank, earliest due time first; work that can no longer be on time
 * comes after work that can. While a rank has work waiting, each start earns it its guaranteed share of a start, and it
 * is served once it has earned a complete one, so a flood in another rank can't starve it.
 *
 * <p>Within a rank, accounts are served in turn, so that one which sends much more than usual delays the others little;
 * the order above holds within each account. Work without an account counts as one account.
 *
 * <p>Work whose expected wait plus expected service time passes its deadline is refused immediately instead of after
 * the wait. Work that will be late gets the capacity that on-time work leaves, both the work that waits and the work
 * that arrives meanwhile, so in a lasting overload it is refused immediately too, and the slots go to work that ends on
 * time. Not thread-safe.
 *
 * @param <T> type of the payload of the work
 */
public final class AdmissionQueue<T> {
    // Weight of the newest sample in the exponentially weighted mean of the service time.
    private static final double SERVICE_TIME_SMOOTHING_FACTOR = 0.1;

    // Most starts that a rank can save up while others are served; limits its burst.
    private static final double MAXIMUM_CREDIT = 2;

    // Service times spread by about a quarter; work that starts with less than this multiple of its expected service
    // time left before it is due mostly ends late.
    private static final double ON_TIME_SERVICE_FACTOR = 1.25;

    // Late work must have this multiple of its expected service time left before its deadline after the expected wait.
    private static final double LATE_SERVICE_FACTOR = 1.5;

    // How much the expected wait of arriving work is corrected for each waiting work that turned late, and that started
    // on time. Service times grow while an upstream is full, which the mean of finished work shows too late.
    private static final double LATE_CORRECTION_FACTOR = 1.15;
    private static final double ON_TIME_CORRECTION_FACTOR = 0.97;
    private static final double MAXIMUM_WAIT_CORRECTION = 3;

    // Largest factor by which the load of on-time work prolongs the expected wait of late work.
    private static final double MAXIMUM_WAIT_GROWTH = 20;

    private final Map<String, Rank> ranks;
    private final Map<String, Deque<WorkItem<T>>> queues = new LinkedHashMap<>();
    private final Map<String, Double> credits = new LinkedHashMap<>();
    private final Map<String, AccountTurns> turns = new LinkedHashMap<>();
    private final int queueLimit;
    private final boolean refuseWithoutSlack;
    private String urgentRank = "";
    private int concurrencyLimit;
    private int inFlight;
    private double meanServiceMillis;
    private double waitCorrection = 1;

    private final Map<String, OnTimeLoads> onTimeLoads = new LinkedHashMap<>();

    private AdmissionQueue(Builder<T> builder) {
        ranks = new LinkedHashMap<>();
        builder.ranks.stream()
                .sorted(Comparator.comparingInt(Rank::order))
                .forEach(rank -> ranks.put(rank.name(), rank));
        ranks.keySet().forEach(name -> queues.put(name, new ArrayDeque<>()));
        ranks.keySet().forEach(name -> turns.put(name, new AccountTurns()));
        ranks.keySet().forEach(name -> credits.put(name, 0.0));
        ranks.keySet().forEach(name -> onTimeLoads.put(name, new OnTimeLoads()));
        queueLimit = builder.queueLimit;
        refuseWithoutSlack = builder.refuseWithoutSlack;
        concurrencyLimit = builder.slots;
        meanServiceMillis = builder.initialServiceMillis;
    }

    /** Returns a builder for one slot and no ranks. */
    public static <T> Builder<T> builder() {
        return new Builder<>();
    }

    /**
     * Removes and returns waiting work of another account that must be refused so that this work can be offered to a
     * full queue: the least urgent work of the account that has most work waiting. Empty if there is room, or if the
     * work's own account has most or it would be refused in any case.
     */
    public Optional<WorkItem<T>> makeRoom(long nowMillis, WorkItem<T> item) {
        Deque<WorkItem<T>> queue = queues.get(item.rank());
        if (queue == null || queue.size() < queueLimit || item.deadlineMillis() <= nowMillis) {
            return Optional.empty();
        }
        Map<String, Long> counts =
                queue.stream().collect(Collectors.groupingBy(WorkItem::account, Collectors.counting()));
        long most = Collections.max(counts.values());
        if (counts.getOrDefault(item.account(), 0L) == most || refuseWithoutSlack && lacksSlack(nowMillis, item)) {
            return Optional.empty();
        }
        Optional<WorkItem<T>> displaced = queue.stream()
                .filter(waiting -> counts.get(waiting.account()) == most)
                .max(startOrder(nowMillis));
        displaced.ifPresent(queue::remove);
        return displaced;
    }

    /**
     * Offers work: it takes a free slot, waits or is refused.
     *
     * @return true if the work holds a slot now, false if it waits, or the reason why it was refused
     */
    public Either<Reason, Boolean> offer(long nowMillis, WorkItem<T> item) {
        Deque<WorkItem<T>> queue = queues.get(item.rank());
        if (queue == null) {
            return Either.left(Reason.MALFORMED_REQUEST);
        }
        if (item.deadlineMillis() <= nowMillis) {
            return Either.left(Reason.DEADLINE_PASSED);
        }
        if (inFlight < concurrencyLimit && queued() == 0) {
            inFlight++;
            recordTurn(item);
            return Either.right(true);
        }
        if (queue.size() >= queueLimit) {
            return Either.left(Reason.QUEUE_FULL);
        }
        if (refuseWithoutSlack && lacksSlack(nowMillis, item)) {
            return Either.left(Reason.DEADLINE_SLACK);
        }
        if (isExpectedOnTime(nowMillis, item, itemWaitMillis(nowMillis, item))) {
            onTimeLoads.get(item.rank()).record(nowMillis, item.account(), expectedServiceMillis(item));
        }
        queue.add(item);
        return Either.right(false);
    }

    /**
     * Releases a slot and starts waiting work.
     *
     * @param serviceMillis how long the slot was held; negative if it must not count towards the mean service time
     * @return the work that was started
     */
    public List<WorkItem<T>> finish(long nowMillis, double serviceMillis) {
        inFlight = Math.max(0, inFlight - 1);
        if (serviceMillis >= 0) {
            meanServiceMillis += (serviceMillis - meanServiceMillis) * SERVICE_TIME_SMOOTHING_FACTOR;
        }
        return startWaiting(nowMillis);
    }

    /** Sets how many requests may run at once, and starts and returns waiting work that now fits. */
    public List<WorkItem<T>> setConcurrencyLimit(long nowMillis, int newLimit) {
        concurrencyLimit = newLimit;
        return startWaiting(nowMillis);
    }

    /** Serves this rank before all others; an empty name restores the configured order. */
    public void setUrgentRank(String name) {
        urgentRank = name;
    }

    /** Removes and returns waiting work that can no longer be answered before its deadline. */
    public List<WorkItem<T>> removeExpired(long nowMillis) {
        return removeWaiting(item -> !canMeetDeadline(nowMillis, item));
    }

    /**
     * Removes and returns waiting work that is expected to miss its deadline, so that its sender can try elsewhere
     * while there is time; empty if it goes on waiting or isn't waiting.
     */
    public Optional<WorkItem<T>> removeIfExpectedToMissDeadline(long nowMillis, String id) {
        Optional<WorkItem<T>> removed = findWaiting(id)
                .filter(item -> isExpectedToMissDeadline(nowMillis, item, itemWaitMillis(nowMillis, item)))
                .flatMap(item -> remove(id));
        removed.ifPresent(item -> correctWait(false));
        return removed;
    }

    /** Returns whether the work with this id waits. */
    public boolean isWaiting(String id) {
        return findWaiting(id).isPresent();
    }

    /** Removes and returns waiting work that matches a condition. */
    public List<WorkItem<T>> removeWaiting(Predicate<WorkItem<T>> condition) {
        List<WorkItem<T>> removed = queues.values().stream()
                .flatMap(Deque::stream)
                .filter(condition)
                .toList();
        queues.values().forEach(queue -> queue.removeIf(condition));
        return removed;
    }

    /** Removes and returns all waiting work. */
    public List<WorkItem<T>> removeAll() {
        return removeWaiting(item -> true);
    }

    /** Removes waiting work by its id; empty when it isn't waiting. */
    public Optional<WorkItem<T>> remove(String id) {
        return removeWaiting(item -> item.id().equals(id)).stream().findFirst();
    }

    /** Returns how many requests hold a slot. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns how many requests wait. */
    public int queued() {
        return queues.values().stream().mapToInt(Deque::size).sum();
    }

    /** Returns how many requests may run at once. */
    public int concurrencyLimit() {
        return concurrencyLimit;
    }

    /** Returns the expected wait of new work of a rank, in milliseconds. */
    public double expectedWaitMillis(String rankName) {
        if (inFlight < concurrencyLimit && queued() == 0) {
            return 0;
        }
        return expectedWaitMillis(rankName, queuedServiceMillis(rankName));
    }

    private double expectedWaitMillis(String rankName, double aheadInRankMillis) {
        double perSlot = 1.0 / Math.max(1, concurrencyLimit);
        double higherRanksMillis = ranksInOrder()
                .takeWhile(rank -> !rank.name().equals(rankName))
                .mapToDouble(rank -> queuedServiceMillis(rank.name()))
                .sum();
        double waitInOrder = (higherRanksMillis + aheadInRankMillis + meanServiceMillis) * perSlot;
        double share = ranks.get(rankName).guaranteedShare();
        return share <= 0
                ? waitInOrder
                : Math.min(waitInOrder, (aheadInRankMillis + meanServiceMillis) * perSlot / share);
    }

    /** Returns the expected service time of all waiting work of a rank, in milliseconds. */
    public double queuedServiceMillis(String rankName) {
        return queues.get(rankName).stream()
                .mapToDouble(this::expectedServiceMillis)
                .sum();
    }

    private double expectedServiceMillis(WorkItem<T> item) {
        return item.expectedServiceMillis() > 0 ? item.expectedServiceMillis() : meanServiceMillis;
    }

    private Optional<WorkItem<T>> findWaiting(String id) {
        return queues.values().stream()
                .flatMap(Deque::stream)
                .filter(item -> item.id().equals(id))
                .findFirst();
    }

    private boolean lacksSlack(long nowMillis, WorkItem<T> item) {
        double waitMillis = waitCorrection * itemWaitMillis(nowMillis, item);
        double slackMillis = item.deadlineMillis() - nowMillis;
        return waitMillis + expectedServiceMillis(item) > slackMillis
                || !isExpectedOnTime(nowMillis, item, waitMillis)
                        && isExpectedToMissDeadline(nowMillis, item, waitMillis);
    }

    private boolean isExpectedOnTime(long nowMillis, WorkItem<T> item, double waitMillis) {
        double allowance = item.dueMillis() < item.deadlineMillis() ? ON_TIME_SERVICE_FACTOR : 1;
        return nowMillis + waitMillis + allowance * expectedServiceMillis(item) <= item.dueMillis();
    }

    // On-time work of higher ranks, and of its own account and rank, that arrives while late work waits goes before it,
    // so the wait grows with the load of that work. An account has its part of the slots that its rank has.
    private boolean isExpectedToMissDeadline(long nowMillis, WorkItem<T> item, double waitMillis) {
        Rank itemRank = ranks.get(item.rank());
        double higherRanksMillis = ranksInOrder()
                .takeWhile(rank -> rank != itemRank)
                .mapToDouble(rank -> onTimeLoads.get(rank.name()).total(nowMillis))
                .sum();
        double accountMillis = onTimeLoads.get(item.rank()).of(nowMillis, item.account());
        double loadMillis = higherRanksMillis + accountMillis * waitingAccounts(item);
        double utilization = loadMillis / OnTimeLoads.WINDOW_MILLIS / Math.max(1, concurrencyLimit);
        double growth = 1 / Math.max(1 / MAXIMUM_WAIT_GROWTH, 1 - utilization);
        return waitMillis * growth + LATE_SERVICE_FACTOR * expectedServiceMillis(item)
                > item.deadlineMillis() - nowMillis;
    }

    private long waitingAccounts(WorkItem<T> item) {
        return Stream.concat(Stream.of(item), queues.get(item.rank()).stream())
                .map(WorkItem::account)
                .distinct()
                .count();
    }

    private double itemWaitMillis(long nowMillis, WorkItem<T> item) {
        double aheadMillis = queues.get(item.rank()).stream()
                .filter(waiting -> waiting.account().equals(item.account()))
                .filter(waiting -> waiting != item && startOrder(nowMillis).compare(waiting, item) <= 0)
                .mapToDouble(this::expectedServiceMillis)
                .sum();
        return expectedWaitMillis(item.rank(), aheadMillis + otherAccountsMillis(nowMillis, item, aheadMillis));
    }

    // The work of other accounts that has its turn before an item with this much work of its own account ahead.
    private double otherAccountsMillis(long nowMillis, WorkItem<T> item, double ownMillis) {
        Map<String, List<WorkItem<T>>> others = queues.get(item.rank()).stream()
                .filter(waiting -> !waiting.account().equals(item.account()))
                .collect(Collectors.groupingBy(WorkItem::account));
        double itemTag = turns.get(item.rank()).startTag(item.account()) + ownMillis;
        return others.entrySet().stream()
                .mapToDouble(other -> {
                    double leadMillis = itemTag - turns.get(item.rank()).startTag(other.getKey());
                    boolean first = leadMillis > 0
                            || leadMillis == 0
                                    && other.getValue().stream()
                                            .anyMatch(waiting ->
                                                    startOrder(nowMillis).compare(waiting, item) <= 0);
                    double allMillis = other.getValue().stream()
                            .mapToDouble(this::expectedServiceMillis)
                            .sum();
                    double oneMillis = allMillis / other.getValue().size();
                    return first ? Math.min(allMillis, Math.max(oneMillis, leadMillis)) : 0;
                })
                .sum();
    }

    private void recordTurn(WorkItem<T> item) {
        turns.get(item.rank()).recordStart(item.account(), expectedServiceMillis(item));
    }

    private boolean canMeetDeadline(long nowMillis, WorkItem<T> item) {
        double neededMillis = refuseWithoutSlack ? expectedServiceMillis(item) : 0;
        return item.deadlineMillis() - nowMillis > neededMillis;
    }

    private List<WorkItem<T>> startWaiting(long nowMillis) {
        List<WorkItem<T>> started = new ArrayList<>();
        while (inFlight < concurrencyLimit) {
            Optional<WorkItem<T>> next = takeNext(nowMillis);
            if (next.isEmpty()) {
                return started;
            }
            inFlight++;
            started.add(next.get());
            correctWait(isExpectedOnTime(nowMillis, next.get(), 0));
        }
        return started;
    }

    private void correctWait(boolean onTime) {
        double factor = onTime ? ON_TIME_CORRECTION_FACTOR : LATE_CORRECTION_FACTOR;
        waitCorrection = Math.min(MAXIMUM_WAIT_CORRECTION, Math.max(1, waitCorrection * factor));
    }

    private Optional<WorkItem<T>> takeNext(long nowMillis) {
        List<Rank> backlogged =
                ranksInOrder().filter(rank -> hasStartableWork(rank, nowMillis)).toList();
        if (backlogged.isEmpty()) {
            return Optional.empty();
        }
        backlogged.forEach(this::earnCredit);
        Rank chosen = backlogged.stream()
                .filter(rank -> credits.get(rank.name()) >= 1)
                .findFirst()
                .orElse(backlogged.get(0));
        credits.computeIfPresent(chosen.name(), (name, credit) -> Math.max(0, credit - 1));
        Optional<WorkItem<T>> next = queues.get(chosen.name()).stream()
                .filter(item -> canMeetDeadline(nowMillis, item))
                .min(Comparator.comparingDouble(
                                (WorkItem<T> item) -> turns.get(item.rank()).startTag(item.account()))
                        .thenComparing(startOrder(nowMillis)));
        next.ifPresent(queues.get(chosen.name())::remove);
        next.ifPresent(this::recordTurn);
        return next;
    }

    private Comparator<WorkItem<T>> startOrder(long nowMillis) {
        return Comparator.comparing((WorkItem<T> item) -> !isExpectedOnTime(nowMillis, item, 0))
                .thenComparingLong(WorkItem::dueMillis);
    }

    private boolean hasStartableWork(Rank rank, long nowMillis) {
        return queues.get(rank.name()).stream().anyMatch(item -> canMeetDeadline(nowMillis, item));
    }

    private void earnCredit(Rank rank) {
        credits.merge(rank.name(), rank.guaranteedShare(), (credit, share) -> Math.min(MAXIMUM_CREDIT, credit + share));
    }

    private Stream<Rank> ranksInOrder() {
        return ranks.values().stream()
                .sorted(Comparator.comparing((Rank rank) -> !rank.name().equals(urgentRank))
                        .thenComparingInt(Rank::order));
    }

    /**
     * Builds an {@link AdmissionQueue}. Not thread-safe.
     *
     * @param <T> type of the payload of the work
     */
    public static final class Builder<T> {
        private List<Rank> ranks = List.of();
        private int slots = 1;
        private int queueLimit = 256;
        private double initialServiceMillis = 20;
        private boolean refuseWithoutSlack = true;

        private Builder() {}

        /**
         * Sets the ranks that work may have.
         *
         * @throws IllegalArgumentException if the guaranteed shares add up to more than 1
         */
        public Builder<T> ranks(List<Rank> newRanks) {
            double shares = newRanks.stream().mapToDouble(Rank::guaranteedShare).sum();
            if (shares > 1) {
                throw new IllegalArgumentException("guaranteed shares of the ranks add up to " + shares + ", above 1");
            }
            ranks = List.copyOf(newRanks);
            return this;
        }

        /** Sets how many requests may run at once. */
        public Builder<T> slots(int newSlots) {
            slots = newSlots;
            return this;
        }

        /** Sets how many requests of one rank may wait. */
        public Builder<T> queueLimit(int newLimit) {
            queueLimit = newLimit;
            return this;
        }

        /** Sets the mean service time in milliseconds that is assumed before the first request has ended. */
        public Builder<T> initialServiceMillis(double millis) {
            initialServiceMillis = millis;
            return this;
        }

        /**
         * Sets whether work that can't be answered before its deadline is refused immediately instead of after the
         * wait.
         */
        public Builder<T> refuseWithoutSlack(boolean refuse) {
            refuseWithoutSlack = refuse;
            return this;
        }

        /** Returns the queue. */
        public AdmissionQueue<T> build() {
            return new AdmissionQueue<>(this);
        }
    }
}
