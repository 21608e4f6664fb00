package org.sardineshunt.coordination.account;

/**
 * By how much the limit of a client account may be exceeded. In any window, all nodes together may run at most (rate x
 * window + burst) x (1 + overage) + slack requests of an account. Immutable and thread-safe.
 *
 * @param windowMillis length of the window
 * @param overage share by which the limit may be exceeded
 * @param slack requests by which it may be exceeded, too
 */
public record LimitBounds(long windowMillis, double overage, double slack) {
    /** Returns how many requests of an account may run in a window beyond its rate and burst. */
    double excess(ClientAccount account) {
        return overage * (account.requestsPerSecond() * windowMillis / 1_000 + account.burst()) + slack;
    }
}
