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

/** Plays a lasting overload of reservations on one upstream and checks what their callers get. */
class AdmissionQueueOverloadTest {
    private static final long SEED = 20261204;
    private static final long LENGTH_MILLIS = 60_000;
    private static final int SLOTS = 4;
    private static final double SERVICE_MILLIS = 450;
    private static final long TARGET_MILLIS = 1_500;
    private static final long DEADLINE_MILLIS = 5_000;
    private static final double OVERLOAD = 1.5;

    private final Random random = new Random(SEED);
    private final AdmissionQueue<Long> gate = AdmissionQueue.<Long>builder()
            .ranks(List.of(new Rank("reserve", 0, 0)))
            .slots(SLOTS)
            .initialServiceMillis(SERVICE_MILLIS)
            .build();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Long> refusedAfterMillis = new ArrayList<>();
    private int arrived;
    private int inTime;
    private int late;

    @BeforeEach
    void playTheOverload() {
        events.add(new Event(0, this::arrive));
        while (!events.isEmpty()) {
            Event next = events.poll();
            next.action().at(next.millis());
        }
    }

    /** Of the work that the slots can do at all, nine tenths ends in time. */
    @Test
    void slotsGoToWorkThatEndsInTime() {
        double possible = Math.min(arrived, LENGTH_MILLIS * SLOTS / SERVICE_MILLIS);

        assertThat(inTime / possible, greaterThanOrEqualTo(0.9));
        assertThat((double) late / (late + inTime), lessThanOrEqualTo(0.1));
    }

    /** Who can't be served learns it before the target has passed, and most learn it at once. */
    @Test
    void refusalsComeEarly() {
        long slow = refusedAfterMillis.stream()
                .filter(millis -> millis > TARGET_MILLIS)
                .count();
        long atOnce = refusedAfterMillis.stream().filter(millis -> millis == 0).count();

        assertThat((double) slow / arrived, lessThanOrEqualTo(0.01));
        assertThat((double) atOnce / refusedAfterMillis.size(), greaterThanOrEqualTo(0.5));
    }

    private void arrive(long now) {
        if (now >= LENGTH_MILLIS) {
            return;
        }
        double gap = SERVICE_MILLIS / SLOTS / OVERLOAD;
        events.add(new Event(now + (long) (-gap * Math.log(1 - random.nextDouble())), this::arrive));
        String id = String.valueOf(++arrived);
        WorkItem<Long> work =
                new WorkItem<>(id, "reserve", now + DEADLINE_MILLIS, now + TARGET_MILLIS, SERVICE_MILLIS, now);
        gate.offer(now, work).peekLeft(reason -> refusedAfterMillis.add(0L)).peek(started -> {
            if (started) {
                start(now, work);
            } else {
                long lateAfter = (long) (TARGET_MILLIS - SERVICE_MILLIS);
                events.add(new Event(now + lateAfter + 1, at -> reconsider(at, work)));
            }
        });
    }

    private void reconsider(long now, WorkItem<Long> work) {
        gate.removeIfExpectedToMissDeadline(now, work.id())
                .ifPresent(hopeless -> refusedAfterMillis.add(now - work.payload()));
        if (gate.isWaiting(work.id()) && now < work.deadlineMillis()) {
            events.add(new Event(now + 400, at -> reconsider(at, work)));
        }
    }

    private void start(long now, WorkItem<Long> work) {
        long service = (long) (SERVICE_MILLIS * (0.7 + 0.6 * random.nextDouble()));
        events.add(new Event(now + service, at -> {
            if (at <= work.dueMillis()) {
                inTime++;
            } else {
                late++;
            }
            gate.finish(at, service).forEach(next -> start(at, next));
        }));
    }

    private record Event(long millis, Action action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return Long.compare(millis, other.millis);
        }
    }

    /** What happens at a time. */
    private interface Action {
        void at(long millis);
    }
}
