package org.sardineshunt.coordination.idempotency;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Detects requests that crash the upstreams that run them.
 *
 * <p>A request is identified by its fingerprint. The crash of an upstream counts against all requests in flight there;
 * a request is refused once it was in flight at the crashes of as many upstreams as the crash limit, which is two in a
 * node. An answer clears a request below the limit, so that popular requests that merely ran on a crashed upstream
 * aren't refused. Not thread-safe.
 */
public final class CrashingRequestDetector {
    private final int crashLimit;
    private final long retentionMillis;
    private final Map<String, Suspect> suspects = new HashMap<>();

    /**
     * Creates a detector without suspects.
     *
     * @param crashLimit number of crashed upstreams at which a request is refused
     * @param retentionMillis how long a suspect is remembered after the last crash
     */
    public CrashingRequestDetector(int crashLimit, long retentionMillis) {
        this.crashLimit = crashLimit;
        this.retentionMillis = retentionMillis;
    }

    /** Returns whether a request must be refused. */
    public boolean mustRefuse(long nowMillis, String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null
                && suspect.lastCrashMillis() + retentionMillis > nowMillis
                && suspect.crashedUpstreams().size() >= crashLimit;
    }

    /** Returns whether an upstream crashed while it ran a request that has not been answered since. */
    public boolean isSuspect(long nowMillis, String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.lastCrashMillis() + retentionMillis > nowMillis;
    }

    /**
     * Records that an upstream crashed while it ran a request.
     *
     * @return false if the crash of this upstream is already recorded for the request
     */
    public boolean recordCrash(long nowMillis, String fingerprint, String upstreamId) {
        Suspect suspect = suspects.getOrDefault(fingerprint, new Suspect(Set.of(), nowMillis));
        if (suspect.crashedUpstreams().contains(upstreamId)) {
            return false;
        }
        Set<String> crashedUpstreams = new HashSet<>(suspect.crashedUpstreams());
        crashedUpstreams.add(upstreamId);
        suspects.put(fingerprint, new Suspect(Set.copyOf(crashedUpstreams), nowMillis));
        return true;
    }

    /** Records that an upstream answered a request. A request that is already refused stays refused. */
    public void recordAnswer(String fingerprint) {
        suspects.computeIfPresent(
                fingerprint, (key, suspect) -> suspect.crashedUpstreams().size() >= crashLimit ? suspect : null);
    }

    /** Removes the suspects whose retention time has ended. */
    public void expire(long nowMillis) {
        suspects.values().removeIf(suspect -> suspect.lastCrashMillis() + retentionMillis <= nowMillis);
    }

    /** Returns the fingerprints of the refused requests, sorted. */
    public List<String> refusedFingerprints() {
        return suspects.entrySet().stream()
                .filter(entry -> entry.getValue().crashedUpstreams().size() >= crashLimit)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    private record Suspect(Set<String> crashedUpstreams, long lastCrashMillis) {}
}
