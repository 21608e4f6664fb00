package org.sardineshunt.coordination.idempotency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Option;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;

/**
 * The tickets that one incarnation of a node issued, with the outcomes of their requests.
 *
 * <pre>{@code
 * Ticket ticket = registry.issue();
 * Decision<Answer> decision = registry.begin(nowMillis, ticket, fingerprint);
 * if (decision.kind() == Decision.Kind.START) { ... registry.finish(nowMillis, ticket, verdict, answer); }
 * }</pre>
 *
 * <p>A ticket takes memory only from its first use until the retention time after the end of its request. When
 * outcomes are evicted, the highest evicted sequence is kept; the request of a ticket up to it that has no recorded
 * outcome may have run. A full registry refuses requests with unused tickets and never evicts an outcome early. Not
 * thread-safe.
 *
 * @param <A> the kept answer
 */
public final class TicketRegistry<A> {
    private final String nodeId;
    private final long incarnation;
    private final int capacity;
    private final long retentionMillis;
    private final Map<Long, UsedTicket<A>> usedTickets = new HashMap<>();
    private final Deque<EndedTicket> endedTickets = new ArrayDeque<>();
    private long lastIssued;
    private long evictedThrough;

    /**
     * Creates an empty registry for an incarnation of a node.
     *
     * @param capacity maximum number of used tickets that are kept
     * @param retentionMillis how long an outcome is kept after the end of its request
     */
    public TicketRegistry(String nodeId, long incarnation, int capacity, long retentionMillis) {
        this.nodeId = nodeId;
        this.incarnation = incarnation;
        this.capacity = capacity;
        this.retentionMillis = retentionMillis;
    }

    /** Returns the registry that a stopping node handed over; requests that were running there become unresolved. */
    public static <A> TicketRegistry<A> fromHandover(
            long nowMillis, Handover<A> handover, int capacity, long retentionMillis) {
        TicketRegistry<A> registry =
                new TicketRegistry<>(handover.nodeId(), handover.incarnation(), capacity, retentionMillis);
        registry.lastIssued = handover.lastIssued();
        registry.evictedThrough = handover.evictedThrough();
        handover.outcomes().forEach(outcome -> registry.restore(nowMillis, outcome));
        return registry;
    }

    /** Returns a new ticket; it takes no memory until it is used. */
    public Ticket issue() {
        lastIssued++;
        return new Ticket(nodeId, incarnation, lastIssued);
    }

    /**
     * Decides what to do with a request that carries a ticket. If the decision is to start the request, the ticket is
     * marked as running.
     *
     * @param fingerprint hash of the request; a ticket used before with a different fingerprint is refused
     */
    public Decision<A> begin(long nowMillis, Ticket ticket, String fingerprint) {
        evictExpired(nowMillis);
        if (!ticket.nodeId().equals(nodeId) || ticket.incarnation() != incarnation) {
            return Decision.refuse(Reason.KEY_OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN);
        }
        if (ticket.sequence() < 1 || ticket.sequence() > lastIssued) {
            return Decision.refuse(Reason.TICKET_UNKNOWN, Verdict.NOT_RUN);
        }
        UsedTicket<A> used = usedTickets.get(ticket.sequence());
        return used == null ? beginFirstUse(ticket, fingerprint) : beginRepeat(ticket, used, fingerprint);
    }

    /**
     * Records the end of a started request. With {@link Verdict#NOT_RUN} the ticket may be used again.
     *
     * @param answer the answer to keep; may be null with {@link Verdict#MAY_HAVE_RUN}
     */
    public void finish(long nowMillis, Ticket ticket, Verdict verdict, A answer) {
        UsedTicket<A> used = usedTickets.get(ticket.sequence());
        if (used == null || used.state() != State.RUNNING) {
            return;
        }
        if (verdict == Verdict.NOT_RUN) {
            usedTickets.put(ticket.sequence(), new UsedTicket<>(State.OPEN, used.fingerprint(), null));
        } else {
            State state = verdict == Verdict.RAN ? State.ANSWERED : State.UNRESOLVED;
            usedTickets.put(ticket.sequence(), new UsedTicket<>(state, used.fingerprint(), answer));
        }
        endedTickets.add(new EndedTicket(ticket.sequence(), nowMillis));
    }

    /** Returns the outcomes of all used tickets for the node's successor. */
    public Handover<A> handover() {
        List<Outcome<A>> outcomes = new ArrayList<>();
        usedTickets.forEach((sequence, used) ->
                outcomes.add(new Outcome<>(sequence, used.fingerprint(), used.state(), used.answer())));
        return new Handover<>(nodeId, incarnation, lastIssued, evictedThrough, List.copyOf(outcomes));
    }

    /** Returns the number of used tickets that are kept. */
    public int size() {
        return usedTickets.size();
    }

    private Decision<A> beginFirstUse(Ticket ticket, String fingerprint) {
        if (ticket.sequence() <= evictedThrough) {
            return Decision.refuse(Reason.KEY_OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN);
        }
        if (usedTickets.size() >= capacity) {
            return Decision.refuse(Reason.KEY_CAPACITY, Verdict.NOT_RUN);
        }
        usedTickets.put(ticket.sequence(), new UsedTicket<>(State.RUNNING, fingerprint, null));
        return Decision.start();
    }

    private Decision<A> beginRepeat(Ticket ticket, UsedTicket<A> used, String fingerprint) {
        if (!used.fingerprint().equals(fingerprint)) {
            return Decision.refuse(Reason.KEY_REUSED, Verdict.NOT_RUN);
        }
        return switch (used.state()) {
            case RUNNING -> Decision.await();
            case ANSWERED -> Decision.replay(used.answer());
            case UNRESOLVED -> Decision.refuse(Reason.KEY_OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN);
            case OPEN -> {
                usedTickets.put(ticket.sequence(), new UsedTicket<>(State.RUNNING, fingerprint, null));
                yield Decision.start();
            }
        };
    }

    private void restore(long nowMillis, Outcome<A> outcome) {
        State state = outcome.state() == State.RUNNING ? State.UNRESOLVED : outcome.state();
        usedTickets.put(outcome.sequence(), new UsedTicket<>(state, outcome.fingerprint(), outcome.answer()));
        endedTickets.add(new EndedTicket(outcome.sequence(), nowMillis));
    }

    private void evictExpired(long nowMillis) {
        while (!endedTickets.isEmpty() && endedTickets.peek().endedAtMillis() + retentionMillis <= nowMillis) {
            long sequence = endedTickets.poll().sequence();
            UsedTicket<A> used = usedTickets.get(sequence);
            // A ticket whose request did not run can be used again; retention counts from its last end.
            boolean endedAgainLater = endedTickets.stream().anyMatch(other -> other.sequence() == sequence);
            if (used != null && used.state() != State.RUNNING && !endedAgainLater) {
                usedTickets.remove(sequence);
                evictedThrough = Math.max(evictedThrough, sequence);
            }
        }
    }

    /** State of a used ticket. */
    public enum State {
        /** The request did not run; the ticket may be used again. */
        OPEN,
        RUNNING,
        /** The request ran and its answer is kept. */
        ANSWERED,
        /** The request may have run; its outcome is unknown. */
        UNRESOLVED
    }

    private record UsedTicket<A>(State state, String fingerprint, A answer) {}

    private record EndedTicket(long sequence, long endedAtMillis) {}

    /**
     * One used ticket of a {@link Handover}.
     *
     * @param <A> the kept answer
     * @param sequence number of the ticket
     * @param fingerprint hash of its request
     * @param state state of the ticket
     * @param answer the kept answer, or null
     */
    public record Outcome<A>(long sequence, String fingerprint, State state, A answer) {}

    /**
     * The contents of the registry that a stopping node hands over to its successor.
     *
     * @param <A> the kept answer
     * @param nodeId the issuer
     * @param incarnation the issuer's incarnation
     * @param lastIssued highest sequence that was issued
     * @param evictedThrough highest sequence whose outcome was evicted, 0 if none was
     * @param outcomes the used tickets that are kept
     */
    public record Handover<A>(
            String nodeId, long incarnation, long lastIssued, long evictedThrough, List<Outcome<A>> outcomes) {}

    /**
     * What to do with a request that carries a ticket.
     *
     * @param <A> the kept answer
     * @param kind the decision
     * @param answer the kept answer of a replay, otherwise none
     * @param reason why the request was refused, otherwise {@link Reason#NONE}
     * @param verdict whether a refused request may have run
     */
    public record Decision<A>(Kind kind, Option<A> answer, Reason reason, Verdict verdict) {
        /** Kinds of decision. */
        public enum Kind {
            /** Run the request, then call {@code finish}. */
            START,
            /** The same request is already running: wait for its end. */
            AWAIT,
            /** Send the kept answer. */
            REPLAY,
            /** Refuse the request. */
            REFUSE
        }

        static <A> Decision<A> start() {
            return new Decision<>(Kind.START, Option.none(), Reason.NONE, Verdict.NOT_RUN);
        }

        static <A> Decision<A> await() {
            return new Decision<>(Kind.AWAIT, Option.none(), Reason.NONE, Verdict.MAY_HAVE_RUN);
        }

        static <A> Decision<A> replay(A answer) {
            return new Decision<>(Kind.REPLAY, Option.some(answer), Reason.NONE, Verdict.RAN);
        }

        static <A> Decision<A> refuse(Reason reason, Verdict verdict) {
            return new Decision<>(Kind.REFUSE, Option.none(), reason, verdict);
        }
    }
}
