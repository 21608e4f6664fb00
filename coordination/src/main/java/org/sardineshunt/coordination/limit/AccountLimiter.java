package org.sardineshunt.coordination.limit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the request rate of each client account with a token bucket.
 *
 * <p>Keeps a bounded number of accounts and evicts the least recently used one. An evicted account that returns starts
 * with a full bucket. Not thread-safe.
 */
public final class AccountLimiter {
    private final double requestsPerSecond;
    private final double burst;
    private final Map<String, Bucket> buckets;

    /**
     * Creates a limiter.
     *
     * @param requestsPerSecond rate of each account, above 0
     * @param burst requests that an account may send at once, at least 1
     * @param maximumAccounts accounts that are kept, at least 1
     */
    public AccountLimiter(double requestsPerSecond, double burst, int maximumAccounts) {
        if (requestsPerSecond <= 0 || burst < 1 || maximumAccounts < 1) {
            throw new IllegalArgumentException("account limit of " + requestsPerSecond + " requests per second, burst "
                    + burst + ", " + maximumAccounts
                    + " accounts is out of range: the rate must be above 0, the others at least 1");
        }
        this.requestsPerSecond = requestsPerSecond;
        this.burst = burst;
        this.buckets = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Bucket> eldest) {
                return size() > maximumAccounts;
            }
        };
    }

    /**
     * Takes a token from the account's bucket.
     *
     * @param nowMillis monotonic time
     * @return whether there was a token, so that the request may be sent
     */
    public boolean tryAcquire(long nowMillis, String account) {
        Bucket bucket = buckets.getOrDefault(account, new Bucket(burst, nowMillis));
        double refilled = bucket.tokens() + (nowMillis - bucket.updatedAtMillis()) * requestsPerSecond / 1000;
        double tokens = Math.min(burst, refilled);
        boolean allowed = tokens >= 1;
        buckets.put(account, new Bucket(allowed ? tokens - 1 : tokens, nowMillis));
        return allowed;
    }

    /** Returns how many accounts are kept. */
    public int accountCount() {
        return buckets.size();
    }

    private record Bucket(double tokens, long updatedAtMillis) {}
}
