package org.sardineshunt.coordination.idempotency;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.idempotency.TicketRegistry.Decision;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class TicketRegistryTest {
    private static final long RETENTION_MILLIS = 1_000;

    private final TicketRegistry<String> registry = new TicketRegistry<>("node-1", 5, 100, RETENTION_MILLIS);

    @Test
    void repeatOfAnAnsweredRequestIsReplayed() {
        Ticket ticket = registry.issue();
        registry.begin(0, ticket, "f");
        registry.finish(0, ticket, Verdict.RAN, "answer");

        assertThat(registry.begin(1, ticket, "f").answer().get(), is("answer"));
    }

    @Test
    void repeatOfARunningRequestWaits() {
        Ticket ticket = registry.issue();
        registry.begin(0, ticket, "f");

        assertThat(registry.begin(1, ticket, "f").kind(), is(Decision.Kind.AWAIT));
    }

    @Test
    void ticketOfAnotherIncarnationMayHaveRun() {
        Decision<String> decision = registry.begin(0, new Ticket("node-1", 4, 1), "f");

        assertThat(decision.verdict(), is(Verdict.MAY_HAVE_RUN));
        assertThat(decision.reason(), is(Reason.KEY_OUTCOME_UNKNOWN));
    }

    @Test
    void ticketThatWasNeverIssuedIsRefused() {
        assertThat(registry.begin(0, new Ticket("node-1", 5, 1), "f").reason(), is(Reason.TICKET_UNKNOWN));
    }

    @Test
    void sameTicketWithAnotherRequestIsRefused() {
        Ticket ticket = registry.issue();
        registry.begin(0, ticket, "f");

        assertThat(registry.begin(0, ticket, "g").reason(), is(Reason.KEY_REUSED));
    }

    @Test
    void requestIsNotRunAgainAfterItsOutcomeExpired() {
        Ticket ticket = registry.issue();
        registry.begin(0, ticket, "f");
        registry.finish(0, ticket, Verdict.RAN, "answer");

        Decision<String> late = registry.begin(RETENTION_MILLIS, ticket, "f");

        assertThat(late.kind(), is(Decision.Kind.REFUSE));
        assertThat(late.verdict(), is(Verdict.MAY_HAVE_RUN));
    }

    @Test
    void successorReplaysOutcomesAndRunsNothingAgain() {
        Ticket answered = registry.issue();
        registry.begin(0, answered, "f");
        registry.finish(0, answered, Verdict.RAN, "answer");
        Ticket running = registry.issue();
        registry.begin(0, running, "f");

        TicketRegistry<String> successor = TicketRegistry.fromHandover(0, registry.handover(), 100, RETENTION_MILLIS);

        assertThat(successor.begin(0, answered, "f").answer().get(), is("answer"));
        assertThat(successor.begin(0, running, "f").verdict(), is(Verdict.MAY_HAVE_RUN));
    }

    @Test
    void fullRegistryRefusesWithVerdictNotRun() {
        TicketRegistry<String> small = new TicketRegistry<>("n", 1, 1, RETENTION_MILLIS);
        small.begin(0, small.issue(), "f");

        Decision<String> refused = small.begin(0, small.issue(), "f");

        assertThat(refused.reason(), is(Reason.KEY_CAPACITY));
        assertThat(refused.verdict(), is(Verdict.NOT_RUN));
    }

    @Property(seed = "20261204", tries = 500)
    void noTicketRunsTwice(@ForAll @Size(max = 80) List<@IntRange(min = 0, max = 99) Integer> steps) {
        // Each step is one of four operations (step / 25) on one of eight tickets (step % 8).
        TicketRegistry<String> tested = new TicketRegistry<>("n", 1, 6, 50);
        Map<Long, Integer> runs = new HashMap<>();
        Map<Long, Boolean> running = new HashMap<>();
        long now = 0;
        for (int step : steps) {
            now += 5;
            long sequence = 1 + step % 8;
            Ticket ticket = new Ticket("n", 1, sequence);
            switch (step / 25) {
                case 0 -> tested.issue();
                case 1 -> {
                    if (tested.begin(now, ticket, "f").kind() == Decision.Kind.START) {
                        running.put(sequence, true);
                    }
                }
                case 2 -> {
                    if (running.remove(sequence) != null) {
                        runs.merge(sequence, 1, Integer::sum);
                        tested.finish(now, ticket, step % 2 == 0 ? Verdict.RAN : Verdict.MAY_HAVE_RUN, "answer");
                    }
                }
                default -> {
                    if (running.remove(sequence) != null) {
                        tested.finish(now, ticket, Verdict.NOT_RUN, null);
                    }
                }
            }
        }
        runs.values().forEach(count -> assertThat(count, lessThanOrEqualTo(1)));
    }
}
