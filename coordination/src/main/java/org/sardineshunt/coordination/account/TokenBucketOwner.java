package org.sardineshunt.coordination.account;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The token buckets of the client accounts that this node owns. Tokens leave a bucket when they are granted.
 *
 * <p>The owner grants at the part of the rate that corresponds to the share of the nodes that it reaches, so that the
 * owners on the sides of a network partition together keep the limit. Not thread-safe.
 *
 * <pre>{@code
 * owner.tick(nowMillis);
 * TokenGrant grant = owner.grant(nowMillis, account, reachableShare, 12);
 * }</pre>
 */
public final class TokenBucketOwner {
    /** {@link #tick} must be called at least this often, or the time counts as a pause of the process. */
    public static final long TICK_PERIOD_MILLIS = 200;

    // Other nodes take over from an owner that was silent for 900 ms. Its buckets aren't refilled for a pause that may
    // have been that long, because another owner granted meanwhile.
    private static final long MAXIMUM_GAP_MILLIS = 600;

    // Several owners in succession within one window each start with this part of what the limit may be exceeded by.
    private static final double START_FRACTION = 0.25;

    private static final long MAXIMUM_WAIT_MILLIS = 60_000;

    private final LimitBounds bounds;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private long lastTickMillis;
    private long activeMillis;

    /** Creates an owner without buckets. */
    public TokenBucketOwner(long nowMillis, LimitBounds bounds) {
        this.bounds = bounds;
        lastTickMillis = nowMillis;
    }

    /** Records that the process runs. */
    public void tick(long nowMillis) {
        long gapMillis = nowMillis - lastTickMillis;
        activeMillis += gapMillis > MAXIMUM_GAP_MILLIS ? 0 : Math.max(0, gapMillis);
        lastTickMillis = nowMillis;
    }

    /**
     * Grants tokens of an account. Its limits take effect at once; tokens above a new burst are dropped.
     *
     * @param reachableShare nodes that this node reaches, itself included, as a share of all nodes
     * @param requestedTokens tokens asked for, at least 1
     */
    public TokenGrant grant(long nowMillis, ClientAccount account, double reachableShare, int requestedTokens) {
        tick(nowMillis);
        double refillPerSecond = account.requestsPerSecond() * reachableShare;
        double capacity = capacity(account, reachableShare);
        Bucket bucket = buckets.get(account.name());
        double refilled = bucket == null
                ? Math.min(account.burst(), START_FRACTION * bounds.excess(account)) * reachableShare
                : bucket.tokens() + (activeMillis - bucket.updatedAtMillis()) * refillPerSecond / 1_000;
        double tokens = Math.min(capacity, refilled);
        int granted = (int) Math.min(requestedTokens, tokens);
        buckets.put(account.name(), new Bucket(tokens - granted, activeMillis));
        return new TokenGrant(
                granted, granted < requestedTokens ? waitMillis(tokens - granted, capacity, refillPerSecond) : 0);
    }

    /** Discards the buckets of the accounts that this node no longer owns. */
    public void keepOnly(Predicate<String> isOwned) {
        buckets.keySet().removeIf(account -> !isOwned.test(account));
    }

    // Entries hold granted tokens for a while, and the bucket refills meanwhile. What the limit may be exceeded by
    // covers these, else the bucket is smaller. A bucket of less than one token would never grant any, so that of a
    // majority has one at least; the owners of several minorities together add at most a quarter of the slack for it.
    private double capacity(ClientAccount account, double reachableShare) {
        double heldTokens = account.requestsPerSecond() * TokenWallet.TOKEN_LIFETIME_MILLIS / 1_000;
        double burst = account.burst() - Math.max(0, heldTokens - bounds.excess(account));
        double smallest = reachableShare > 0.5 ? 1 : reachableShare * (account.burst() + bounds.slack() / 4);
        return Math.max(burst * reachableShare, Math.min(1, smallest));
    }

    private static long waitMillis(double tokens, double capacity, double refillPerSecond) {
        if (capacity < 1 || refillPerSecond <= 0) {
            return MAXIMUM_WAIT_MILLIS;
        }
        return (long) Math.max(1, Math.min(MAXIMUM_WAIT_MILLIS, Math.ceil((1 - tokens) * 1_000 / refillPerSecond)));
    }

    /**
     * The tokens of an account.
     *
     * @param tokens tokens at the last grant
     * @param updatedAtMillis time of that grant, without the pauses of the process
     */
    private record Bucket(double tokens, long updatedAtMillis) {}
}
