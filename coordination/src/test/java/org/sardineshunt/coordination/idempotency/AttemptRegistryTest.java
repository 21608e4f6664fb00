package org.sardineshunt.coordination.idempotency;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.idempotency.AttemptRegistry.Arrival;
import org.sardineshunt.coordination.idempotency.AttemptRegistry.State;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class AttemptRegistryTest {
    private static final AttemptId ID = new AttemptId("entry", 7, 5);

    private final AttemptRegistry<String> registry = new AttemptRegistry<>(1_000);

    @Test
    void abandonedAttemptThatArrivesLaterNeverStarts() {
        assertThat(registry.abandon(0, ID, 500).state(), is(State.ABANDONED));

        assertThat(registry.recordArrival(ID), is(Arrival.ABANDONED));
        assertThat(registry.tryStart(ID), is(false));
    }

    @Test
    void waitingAttemptThatIsAbandonedNeverStarts() {
        registry.recordArrival(ID);
        registry.abandon(0, ID, 500);

        assertThat(registry.tryStart(ID), is(false));
    }

    @Test
    void runningAttemptCannotBeAbandoned() {
        registry.recordArrival(ID);
        registry.tryStart(ID);

        assertThat(registry.abandon(0, ID, 500).state(), is(State.RUNNING));
    }

    @Test
    void finishedAttemptReturnsItsAnswer() {
        registry.recordArrival(ID);
        registry.tryStart(ID);
        registry.finish(0, ID, "answer");

        assertThat(registry.abandon(10, ID, 500).answer(), is("answer"));
    }

    @Test
    void secondArrivalOfAnAttemptIsADuplicate() {
        registry.recordArrival(ID);

        assertThat(registry.recordArrival(ID), is(Arrival.DUPLICATE));
    }

    /** Guards against a second run: the entry asked after the home had forgotten that the attempt had run. */
    @Test
    void finishedAttemptIsNeverReportedAsNotRun() {
        registry.recordArrival(ID);
        registry.tryStart(ID);
        registry.finish(0, ID, "answer");
        registry.expire(1_000);

        assertThat(registry.abandon(1_000, ID, 500).state(), is(State.FORGOTTEN));
        registry.expire(1_000_000_000);
        assertThat(registry.abandon(1_000_000_000, ID, 500).state(), is(State.FORGOTTEN));
    }

    /** Guards against a second run: a partition delayed the attempt until its abandonment was forgotten. */
    @Test
    void abandonedAttemptNeverStartsHoweverLateItArrives() {
        registry.abandon(0, ID, 500);
        registry.expire(1_000_000_000);

        assertThat(registry.recordArrival(ID), is(Arrival.FORGOTTEN));
        assertThat(registry.tryStart(ID), is(false));
    }

    @Test
    void acceptsNewerAttemptsAndThoseOfOtherProcessesAfterForgettingOne() {
        registry.refuse(0, ID);
        registry.expire(1_000);

        assertThat(registry.recordArrival(new AttemptId("entry", 7, 6)), is(Arrival.ACCEPTED));
        assertThat(registry.recordArrival(new AttemptId("entry", 8, 5)), is(Arrival.ACCEPTED));
        assertThat(registry.recordArrival(new AttemptId("other", 7, 5)), is(Arrival.ACCEPTED));
    }

    @Test
    void remembersEarlierProcessesOfAnEntryAfterManyRestarts() {
        for (long incarnation = 1; incarnation <= 100; incarnation++) {
            registry.refuse(0, new AttemptId("entry", incarnation, 1));
        }
        registry.expire(1_000);

        for (long incarnation = 1; incarnation <= 100; incarnation++) {
            assertThat(registry.recordArrival(new AttemptId("entry", incarnation, 1)), is(Arrival.FORGOTTEN));
        }
        assertThat(registry.recordArrival(new AttemptId("entry", 101, 1)), is(Arrival.ACCEPTED));
    }

    @Property(seed = "20261204", tries = 500)
    void noAttemptStartsAfterItWasReportedAsNotRun(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 74) Integer> steps) {
        // Each step is one of five operations (step / 15) on one of five attempts (step % 5).
        AttemptRegistry<String> tested = new AttemptRegistry<>(1_000_000);
        Set<AttemptId> reportedNotRun = new HashSet<>();
        Set<AttemptId> started = new HashSet<>();
        for (int step : steps) {
            AttemptId id = new AttemptId("entry", 7, step % 5);
            switch (step / 15) {
                case 0 -> tested.recordArrival(id);
                case 1 -> {
                    if (tested.tryStart(id)) {
                        assertThat(id + " starts once", started.add(id), is(true));
                        assertThat(id + " was not reported", reportedNotRun.contains(id), is(false));
                    }
                }
                case 2 -> {
                    if (tested.abandon(0, id, 1_000_000).state() == State.ABANDONED) {
                        assertThat(id + " did not start", started.contains(id), is(false));
                        reportedNotRun.add(id);
                    }
                }
                case 3 -> tested.expire(Long.MAX_VALUE - 1);
                default -> {
                    if (started.contains(id)) {
                        tested.finish(0, id, "answer");
                    }
                }
            }
        }
    }
}
