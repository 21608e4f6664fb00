package org.sardineshunt.coordination.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Whose turn it is among the accounts of a rank, by start-time fair queueing: each start moves its account back by the
 * expected service time, and an account that was idle saves up nothing. Not thread-safe.
 */
final class AccountTurns {
    // Start tag of the work that started last.
    private double virtualTimeMillis;
    private final Map<String, Double> finishTags = new HashMap<>();

    /** Returns the start tag of an account's next work; the account with the lowest one is next. */
    double startTag(String account) {
        return Math.max(virtualTimeMillis, finishTags.getOrDefault(account, 0.0));
    }

    /** Records that work of an account started. */
    void recordStart(String account, double expectedServiceMillis) {
        virtualTimeMillis = startTag(account);
        finishTags.put(account, virtualTimeMillis + expectedServiceMillis);
        finishTags.values().removeIf(tag -> tag <= virtualTimeMillis);
    }
}
