package org.sardineshunt.coordination.idempotency;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds requests that crash the upstreams that run them.
 *
 * <p>A request is recognised by its fingerprint. Each crash of an upstream makes a victim of all requests in flight
 * there; a request with two victims is refused. A request that is answered is cleared, so popular requests that merely
 * shared the upstream aren't refused. Not thread-safe.
 */
public final class CrashingRequestDetector {
    private final int crashLimit;
    private final long retentionMillis;
    private final Map<String, Suspect> suspects = new HashMap<>();

    /**
     * Creates a guard.
     *
     * @param crashLimit upstreams that a request may crash before it is refused
     * @param retentionMillis how long a suspect is remembered after its last victim
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

    /** Records that an upstream crashed while it ran the request; returns whether that was news. */
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

    /** Records that an upstream answered the request. A request that is refused already stays refused. */
    public void recordAnswer(String fingerprint) {
        suspects.computeIfPresent(
                fingerprint, (key, suspect) -> suspect.crashedUpstreams().size() >= crashLimit ? suspect : null);
    }

    /** Drops suspects whose time is over. */
    public void expire(long nowMillis) {
        suspects.values().removeIf(suspect -> suspect.lastCrashMillis() + retentionMillis <= nowMillis);
    }

    /** Returns the fingerprints that are refused. */
    public List<String> refusedFingerprints() {
        return suspects.entrySet().stream()
                .filter(entry -> entry.getValue().crashedUpstreams().size() >= crashLimit)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    private record Suspect(Set<String> crashedUpstreams, long lastCrashMillis) {}
}
