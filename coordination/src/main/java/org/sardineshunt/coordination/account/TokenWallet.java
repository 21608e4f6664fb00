package org.sardineshunt.coordination.account;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The tokens of one client account that were granted to this node, and how many it should ask for. Not thread-safe.
 *
 * <p>Tokens expire, so the owner need not know what became of them. A node asks in advance only for what it is
 * likely to use, because tokens that expire are lost to the other nodes.
 */
final class TokenWallet {
    /** How long after the node asked for it a token may be used. */
    static final long TOKEN_LIFETIME_MILLIS = 400;

    private static final double DEMAND_WINDOW_MILLIS = 1_000;

    // Part of a token's lifetime in which it should be used: the answer takes a part of the rest.
    private static final double ADVANCE_SECONDS = 0.3;

    // Standard deviations by which the demand may stay below the expected one without leaving tokens unused.
    private static final double ADVANCE_DEVIATIONS = 0.5;

    private final Deque<Held> held = new ArrayDeque<>();
    private double demand;
    private long demandUpdatedAtMillis;
    private long lastAskedAtMillis;

    /** Records that a request arrived. */
    void recordDemand(ClockReading now) {
        demand = decayedDemand(now) + 1;
        demandUpdatedAtMillis = now.monotonicMillis();
    }

    /** Adds tokens that the node asked for at the given time. */
    void add(ClockReading askedAt, int tokens) {
        lastAskedAtMillis = askedAt.monotonicMillis();
        if (tokens > 0) {
            held.add(new Held(askedAt, tokens));
        }
    }

    /** Takes a token that has not expired; false if there is none. */
    boolean tryTake(ClockReading now) {
        dropExpired(now);
        Held oldest = held.poll();
        if (oldest == null) {
            return false;
        }
        if (oldest.tokens() > 1) {
            held.addFirst(new Held(oldest.askedAt(), oldest.tokens() - 1));
        }
        return true;
    }

    /** Discards all tokens. */
    void clear() {
        held.clear();
    }

    /** Returns how many tokens are left. */
    int balance(ClockReading now) {
        dropExpired(now);
        return held.stream().mapToInt(Held::tokens).sum();
    }

    /** Returns the milliseconds since the node asked for the tokens that it received last. */
    long millisSinceAsked(ClockReading now) {
        return now.monotonicMillis() - lastAskedAtMillis;
    }

    /**
     * Returns how many tokens the node should ask for now; 0 for none.
     *
     * @param waiting requests that wait for a token
     * @param inAdvance whether to ask for tokens of requests to come
     */
    int tokensToRequest(ClockReading now, int waiting, boolean inAdvance) {
        double expected = decayedDemand(now) * 1_000 / DEMAND_WINDOW_MILLIS * ADVANCE_SECONDS;
        int advance = inAdvance ? (int) Math.max(0, expected - ADVANCE_DEVIATIONS * Math.sqrt(expected)) : 0;
        int balance = balance(now);
        return balance < waiting + (advance + 1) / 2 ? waiting + advance - balance : 0;
    }

    private double decayedDemand(ClockReading now) {
        return demand * Math.exp((demandUpdatedAtMillis - now.monotonicMillis()) / DEMAND_WINDOW_MILLIS);
    }

    private void dropExpired(ClockReading now) {
        while (!held.isEmpty() && now.millisSince(held.peek().askedAt()) >= TOKEN_LIFETIME_MILLIS) {
            held.poll();
        }
    }

    private record Held(ClockReading askedAt, int tokens) {}
}
