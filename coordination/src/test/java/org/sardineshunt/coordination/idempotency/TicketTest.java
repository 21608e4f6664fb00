package org.sardineshunt.coordination.idempotency;

import io.vavr.control.Option;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TicketTest {
    @Property(seed = "20261204")
    void parsedTextYieldsTheSameTicket(
            @ForAll @LongRange(min = 0, max = 2_000_000_000_000L) long incarnation,
            @ForAll @LongRange(min = 1, max = 2_000_000_000_000L) long sequence) {
        Ticket ticket = new Ticket("node-1", incarnation, sequence);

        assertThat(Ticket.parse(ticket.text()), is(Option.some(ticket)));
    }

    @Test
    void keysChosenByCallersAreNotTickets() {
        assertThat(Ticket.parse("booking-17").isEmpty(), is(true));
        assertThat(Ticket.parse("ticket.node.!.1").isEmpty(), is(true));
    }
}
