package org.sardineshunt.coordination.idempotency;

import java.util.HashMap;
import java.util.Map;

/**
 * What a home node knows of the attempts that reached it.
 *
 * <p>An attempt that was abandoned before it started never starts: its id is remembered until the time that the
 * abandoning node asked for. Answers are kept for the retention time, so that a node that lost its link can ask for
 * them. Not thread-safe.
 *
 * @param <A> the kept answer
 */
public final class AttemptRegistry<A> {
    private final long retentionMillis;
    private final Map<String, KnownAttempt<A>> knownAttempts = new HashMap<>();

    /** Creates an empty registry that keeps answers for some milliseconds. */
    public AttemptRegistry(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /** Registers an attempt that arrived; it may wait for a slot. */
    public Arrival recordArrival(String attemptId) {
        KnownAttempt<A> known = knownAttempts.get(attemptId);
        if (known == null) {
            knownAttempts.put(attemptId, new KnownAttempt<>(State.WAITING, null, Long.MAX_VALUE));
            return Arrival.ACCEPTED;
        }
        return known.state() == State.ABANDONED ? Arrival.ABANDONED : Arrival.DUPLICATE;
    }

    /** Marks a waiting attempt as started; returns false if it was abandoned and must not start. */
    public boolean tryStart(String attemptId) {
        KnownAttempt<A> known = knownAttempts.get(attemptId);
        if (known == null || known.state() != State.WAITING) {
            return false;
        }
        knownAttempts.put(attemptId, new KnownAttempt<>(State.RUNNING, null, Long.MAX_VALUE));
        return true;
    }

    /** Keeps the answer of an attempt. */
    public void finish(long nowMillis, String attemptId, A answer) {
        knownAttempts.put(attemptId, new KnownAttempt<>(State.FINISHED, answer, nowMillis + retentionMillis));
    }

    /** Forgets a waiting attempt that was refused, but lets no later copy of it start. */
    public void refuse(long nowMillis, String attemptId) {
        knownAttempts.put(attemptId, new KnownAttempt<>(State.ABANDONED, null, nowMillis + retentionMillis));
    }

    /**
     * Abandons an attempt unless it has started.
     *
     * @param rememberMillis how long the id must be refused
     */
    public Abandonment<A> abandon(long nowMillis, String attemptId, long rememberMillis) {
        KnownAttempt<A> known = knownAttempts.get(attemptId);
        if (known != null && known.state() == State.RUNNING) {
            return new Abandonment<>(State.RUNNING, null);
        }
        if (known != null && known.state() == State.FINISHED) {
            return new Abandonment<>(State.FINISHED, known.answer());
        }
        knownAttempts.put(attemptId, new KnownAttempt<>(State.ABANDONED, null, nowMillis + rememberMillis));
        return new Abandonment<>(State.ABANDONED, null);
    }

    /** Drops answers and abandoned ids whose time is over. */
    public void expire(long nowMillis) {
        knownAttempts.values().removeIf(known -> known.expiresAtMillis() <= nowMillis);
    }

    /** Returns how many attempts are remembered. */
    public int size() {
        return knownAttempts.size();
    }

    /** Whether an arriving attempt may go on. */
    public enum Arrival {
        ACCEPTED,
        DUPLICATE,
        ABANDONED
    }

    /** State of an attempt. */
    public enum State {
        WAITING,
        RUNNING,
        FINISHED,
        ABANDONED
    }

    /**
     * Result of abandoning an attempt.
     *
     * @param <A> the kept answer
     * @param state {@link State#ABANDONED} proves that the attempt doesn't run
     * @param answer the answer of a finished attempt, else null
     */
    public record Abandonment<A>(State state, A answer) {}

    private record KnownAttempt<A>(State state, A answer, long expiresAtMillis) {}
}
