package org.sardineshunt.coordination.route;

import java.util.List;
import java.util.Objects;

/**
 * Where requests of one host and path prefix go and how they are treated. Immutable and thread-safe.
 *
 * @param name unique name, not null
 * @param host host in lower case, without a port
 * @param prefix beginning of the path, starts and ends with a slash
 * @param idempotent whether running a request twice is harmless
 * @param maximumAttempts most upstreams that one request may be sent to, at least 1
 * @param timeoutMillis longest time that a caller is kept waiting, at least 1
 * @param targetLatencyMillis time within which an answer is on time; 0 when unknown
 * @param rank order of urgency, 0 is the most urgent
 * @param shares services and their weights, at least one
 * @param publicAccess whether requests need no key of a client account
 */
public record Route(
        String name,
        String host,
        String prefix,
        boolean idempotent,
        int maximumAttempts,
        long timeoutMillis,
        long targetLatencyMillis,
        int rank,
        List<Share> shares,
        boolean publicAccess) {
    /** Validates the values. */
    public Route {
        Objects.requireNonNull(name, "name");
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "route '" + name + "': prefix '" + prefix + "' does not start and end with a slash");
        }
        if (maximumAttempts < 1 || timeoutMillis < 1 || rank < 0) {
            throw new IllegalArgumentException("route '" + name + "': attempts " + maximumAttempts + ", timeout "
                    + timeoutMillis + " ms or rank " + rank + " is out of range");
        }
        shares = List.copyOf(shares);
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("route '" + name + "' has no service");
        }
    }

    /**
     * Returns the service for a request, chosen in proportion to the weights.
     *
     * @param randomFraction a number from 0 to below 1
     */
    public String selectService(double randomFraction) {
        double totalWeight = shares.stream().mapToDouble(Share::weight).sum();
        double remainingWeight = randomFraction * totalWeight;
        for (Share share : shares) {
            remainingWeight -= share.weight();
            if (remainingWeight < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }

    /**
     * A service's share of the requests of a route.
     *
     * @param service name of the service, not null
     * @param weight weight relative to the other shares, 0 or more
     */
    public record Share(String service, double weight) {
        /** Validates the values. */
        public Share {
            Objects.requireNonNull(service, "service");
            if (!(weight >= 0)) {
                throw new IllegalArgumentException("service '" + service + "': weight " + weight + " is negative");
            }
        }
    }
}
