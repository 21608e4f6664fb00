package org.sardineshunt.coordination.idempotency;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The attempts that reached a home node, with their states and answers.
 *
 * <p>An attempt that was abandoned before it started never starts. Answers are kept for the retention time, so that a
 * node that lost its link can fetch them. After that an attempt counts as forgotten: its outcome is unknown, and a
 * delayed copy of it is not accepted, however late it arrives. Not thread-safe.
 *
 * @param <A> the kept answer
 */
public final class AttemptRegistry<A> {
    private final long retentionMillis;
    private final Map<AttemptId, KnownAttempt<A>> knownAttempts = new HashMap<>();
    private final ForgottenAttempts forgottenAttempts = new ForgottenAttempts();

    /**
     * Creates an empty registry.
     *
     * @param retentionMillis how long finished and refused attempts are kept
     */
    public AttemptRegistry(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /** Registers an arrived attempt as waiting for a slot, unless its id is known or forgotten already. */
    public Arrival recordArrival(AttemptId attemptId) {
        KnownAttempt<A> known = knownAttempts.get(attemptId);
        if (known == null && forgottenAttempts.mayContain(attemptId)) {
            return Arrival.FORGOTTEN;
        }
        if (known == null) {
            knownAttempts.put(attemptId, new KnownAttempt<>(State.WAITING, null, Long.MAX_VALUE));
            return Arrival.ACCEPTED;
        }
        return known.state() == State.ABANDONED ? Arrival.ABANDONED : Arrival.DUPLICATE;
    }

    /**
     * Marks a waiting attempt as running.
     *
     * @return false if the attempt isn't waiting, for example because it was abandoned; it must not start then
     */
    public boolean tryStart(AttemptId attemptId) {
        KnownAttempt<A> known = knownAttempts.get(attemptId);
        if (known == null || known.state() != State.WAITING) {
            return false;
        }
        knownAttempts.put(attemptId, new KnownAttempt<>(State.RUNNING, null, Long.MAX_VALUE));
        return true;
    }

    /** Marks an attempt as finished and keeps its answer for the retention time. */
    public void finish(long nowMillis, AttemptId attemptId, A answer) {
        knownAttempts.put(attemptId, new KnownAttempt<>(State.FINISHED, answer, nowMillis + retentionMillis));
    }

    /** Marks a refused attempt as abandoned, so that no later copy of it starts. */
    public void refuse(long nowMillis, AttemptId attemptId) {
        knownAttempts.put(attemptId, new KnownAttempt<>(State.ABANDONED, null, nowMillis + retentionMillis));
    }

    /**
     * Abandons an attempt unless it has started.
     *
     * @param rememberMillis how long an abandoned attempt must be known as such
     * @return the state of the attempt, with its answer if it has finished
     */
    public Abandonment<A> abandon(long nowMillis, AttemptId attemptId, long rememberMillis) {
        KnownAttempt<A> known = knownAttempts.get(attemptId);
        if (known != null && known.state() == State.RUNNING) {
            return new Abandonment<>(State.RUNNING, null);
        }
        if (known != null && known.state() == State.FINISHED) {
            return new Abandonment<>(State.FINISHED, known.answer());
        }
        if (known == null && forgottenAttempts.mayContain(attemptId)) {
            return new Abandonment<>(State.FORGOTTEN, null);
        }
        knownAttempts.put(attemptId, new KnownAttempt<>(State.ABANDONED, null, nowMillis + rememberMillis));
        return new Abandonment<>(State.ABANDONED, null);
    }

    /** Forgets the attempts whose time to be kept has ended. */
    public void expire(long nowMillis) {
        List<AttemptId> expired = knownAttempts.entrySet().stream()
                .filter(entry -> entry.getValue().expiresAtMillis() <= nowMillis)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(attemptId -> {
            knownAttempts.remove(attemptId);
            forgottenAttempts.add(attemptId);
        });
    }

    /** Returns how many attempts are known. */
    public int size() {
        return knownAttempts.size();
    }

    /** Whether an arrived attempt may proceed. */
    public enum Arrival {
        /** The id was unknown; the attempt now waits for a slot. */
        ACCEPTED,
        /** The id belongs to an attempt that is waiting, running or finished. */
        DUPLICATE,
        /** The attempt was abandoned or refused before. */
        ABANDONED,
        /** The attempt may have arrived before and been forgotten, so it may have run. */
        FORGOTTEN
    }

    /** State of an attempt. */
    public enum State {
        /** Waits for a slot. */
        WAITING,
        RUNNING,
        FINISHED,
        /** Abandoned or refused before its start; never starts. */
        ABANDONED,
        /** May have arrived and been forgotten since, so it may have run; never starts again. */
        FORGOTTEN
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
