package org.sardineshunt.coordination.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Rank;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Simulates a lasting overload of reservations at one upstream and checks the answers that their callers receive. */
class AdmissionQueueOverloadTest {
    private static final long SEED = 20261204;
    private static final long DURATION_MILLIS = 60_000;
    private static final int SLOTS = 4;
    private static final double SERVICE_MILLIS = 450;
    private static final long TARGET_MILLIS = 1_500;
    private static final long DEADLINE_MILLIS = 5_000;
    private static final double LOAD_FACTOR = 1.5;

    private final Random random = new Random(SEED);
    private final AdmissionQueue<Long> queue = AdmissionQueue.<Long>builder()
            .ranks(List.of(new Rank("reserve", 0, 0)))
            .slots(SLOTS)
            .initialServiceMillis(SERVICE_MILLIS)
            .build();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Long> refusedAfterMillis = new ArrayList<>();
    private int arrived;
    private int onTime;
    private int late;

    @BeforeEach
    void simulateOverload() {
        events.add(new Event(0, this::arrive));
        while (!events.isEmpty()) {
            Event event = events.poll();
            event.action().at(event.millis());
        }
    }

    /** At least nine tenths of the work that the slots have capacity for ends on time. */
    @Test
    void mostCapacityServesWorkThatEndsOnTime() {
        double possibleAtFullCapacity = Math.min(arrived, DURATION_MILLIS * SLOTS / SERVICE_MILLIS);

        assertThat(onTime / possibleAtFullCapacity, greaterThanOrEqualTo(0.9));
        assertThat((double) late / (late + onTime), lessThanOrEqualTo(0.1));
    }

    /** Work that can't be served is refused before its target has passed, and most of it immediately. */
    @Test
    void refusesEarly() {
        long refusedAfterTarget = refusedAfterMillis.stream()
                .filter(millis -> millis > TARGET_MILLIS)
                .count();
        long refusedImmediately =
                refusedAfterMillis.stream().filter(millis -> millis == 0).count();

        assertThat((double) refusedAfterTarget / arrived, lessThanOrEqualTo(0.01));
        assertThat((double) refusedImmediately / refusedAfterMillis.size(), greaterThanOrEqualTo(0.5));
    }

    private void arrive(long now) {
        if (now >= DURATION_MILLIS) {
            return;
        }
        double meanGapMillis = SERVICE_MILLIS / SLOTS / LOAD_FACTOR;
        events.add(new Event(now + (long) (-meanGapMillis * Math.log(1 - random.nextDouble())), this::arrive));
        String id = String.valueOf(++arrived);
        WorkItem<Long> item =
                new WorkItem<>(id, "reserve", now + DEADLINE_MILLIS, now + TARGET_MILLIS, SERVICE_MILLIS, now);
        queue.offer(now, item).peekLeft(reason -> refusedAfterMillis.add(0L)).peek(started -> {
            if (started) {
                start(now, item);
            } else {
                long lateAfterMillis = (long) (TARGET_MILLIS - SERVICE_MILLIS);
                events.add(new Event(now + lateAfterMillis + 1, at -> recheck(at, item)));
            }
        });
    }

    private void recheck(long now, WorkItem<Long> item) {
        queue.removeIfExpectedToMissDeadline(now, item.id())
                .ifPresent(removed -> refusedAfterMillis.add(now - item.payload()));
        if (queue.isWaiting(item.id()) && now < item.deadlineMillis()) {
            events.add(new Event(now + 400, at -> recheck(at, item)));
        }
    }

    private void start(long now, WorkItem<Long> item) {
        long serviceMillis = (long) (SERVICE_MILLIS * (0.7 + 0.6 * random.nextDouble()));
        events.add(new Event(now + serviceMillis, at -> {
            if (at <= item.dueMillis()) {
                onTime++;
            } else {
                late++;
            }
            queue.finish(at, serviceMillis).forEach(next -> start(at, next));
        }));
    }

    private record Event(long millis, Action action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return Long.compare(millis, other.millis);
        }
    }

    /** Something that happens at a simulated time. */
    private interface Action {
        void at(long millis);
    }
}
