package org.sardineshunt.coordination.limit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongConsumer;

/**
 * Plays arrivals of several kinds of work at an admission queue in simulated time, as a home drives it: work that turns
 * late is checked again until it starts or is refused. Deterministic by seed. Not thread-safe.
 */
final class PlayedLoad {
    private static final long DURATION_MILLIS = 60_000;
    private static final long RECHECK_MILLIS = 400;

    private final Random random;
    private final AdmissionQueue<Work> queue;
    private final double slowdownWhenFull;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::millis).thenComparingInt(Event::order));
    private final Map<Work, Result> results = new HashMap<>();
    private int lastOrder;

    /**
     * Creates a load.
     *
     * @param slowdownWhenFull factor by which work takes longer that starts while other work waits
     */
    PlayedLoad(long seed, AdmissionQueue<Work> queue, double slowdownWhenFull) {
        random = new Random(seed);
        this.queue = queue;
        this.slowdownWhenFull = slowdownWhenFull;
    }

    /** Plays a minute of these kinds of work until all of it has ended. */
    void play(List<Work> kinds) {
        kinds.forEach(work -> {
            results.put(work, new Result());
            scheduleArrival(0, work);
        });
        while (!events.isEmpty()) {
            Event event = events.poll();
            event.action().accept(event.millis());
        }
    }

    Result result(Work work) {
        return results.get(work);
    }

    private void schedule(double millis, LongConsumer action) {
        events.add(new Event((long) millis, ++lastOrder, action));
    }

    private void scheduleArrival(long now, Work work) {
        schedule(now - Math.log(1 - random.nextDouble()) * 1_000 / work.perSecond(), at -> arrive(at, work));
    }

    private void arrive(long now, Work work) {
        if (now >= DURATION_MILLIS) {
            return;
        }
        scheduleArrival(now, work);
        results.get(work).arrived++;
        WorkItem<Work> item = new WorkItem<>(
                "item-" + ++lastOrder,
                work.rank(),
                work.account(),
                now + work.deadlineMillis(),
                now + work.targetMillis(),
                work.serviceMillis(),
                work);
        queue.makeRoom(now, item).ifPresent(displaced -> results.get(displaced.payload()).refusedAfterWait++);
        queue.offer(now, item)
                .peekLeft(reason -> results.get(work).refusedAtOnce++)
                .peek(started -> {
                    if (started) {
                        start(now, item);
                    } else {
                        schedule(now + work.targetMillis() - work.serviceMillis() + 1, at -> recheck(at, item));
                    }
                });
    }

    private void recheck(long now, WorkItem<Work> item) {
        queue.removeIfExpectedToMissDeadline(now, item.id())
                .ifPresent(removed -> results.get(item.payload()).refusedAfterWait++);
        if (queue.isWaiting(item.id())) {
            schedule(now + RECHECK_MILLIS, at -> recheck(at, item));
        }
    }

    private void start(long now, WorkItem<Work> item) {
        double slowdown = queue.queued() > 0 ? slowdownWhenFull : 1;
        double serviceMillis = item.payload().serviceMillis() * slowdown * (0.5 + random.nextDouble());
        schedule(now + serviceMillis, at -> {
            Result result = results.get(item.payload());
            result.ended++;
            result.onTime += at <= item.dueMillis() ? 1 : 0;
            queue.finish(at, serviceMillis).forEach(next -> start(at, next));
        });
    }

    /** A kind of work. */
    record Work(
            String rank,
            String account,
            double serviceMillis,
            long targetMillis,
            long deadlineMillis,
            double perSecond) {
        Work(String rank, double serviceMillis, long targetMillis, long deadlineMillis, double perSecond) {
            this(rank, "", serviceMillis, targetMillis, deadlineMillis, perSecond);
        }
    }

    /** What became of one kind of work. */
    static final class Result {
        private int arrived;
        private int refusedAtOnce;
        private int refusedAfterWait;
        private int ended;
        private int onTime;

        double refusedShare() {
            return (double) (refusedAtOnce + refusedAfterWait) / arrived;
        }

        double atOnceShareOfRefused() {
            return (double) refusedAtOnce / (refusedAtOnce + refusedAfterWait);
        }

        double servedShare() {
            return (double) ended / arrived;
        }

        double onTimeShareOfEnded() {
            return (double) onTime / ended;
        }

        int ended() {
            return ended;
        }
    }

    private record Event(long millis, int order, LongConsumer action) {}
}
