package org.sardineshunt.coordination.route;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.sardineshunt.coordination.account.AccountDirectory;

/**
 * Routes, services, limits and client accounts of one version of the configuration. Immutable and thread-safe.
 *
 * <pre>{@code
 * Optional<Route> route = configuration.match("shop.example:8080", "/orders/17");
 * }</pre>
 */
public final class FleetConfiguration {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Service> services;
    private final CallerLimits limits;
    private final Optional<AccountDirectory> accounts;
    private final int routeCount;

    /**
     * Creates a configuration without client accounts.
     *
     * @param version increases with each accepted change
     * @throws IllegalArgumentException if a route names a service that isn't listed
     */
    public FleetConfiguration(long version, List<Route> routes, List<Service> services, CallerLimits limits) {
        this(version, routes, services, limits, Optional.empty());
    }

    /**
     * Creates a configuration.
     *
     * @param version increases with each accepted change
     * @param accounts client accounts; empty if no request needs a key
     * @throws IllegalArgumentException if a route names a service that isn't listed
     */
    public FleetConfiguration(
            long version,
            List<Route> routes,
            List<Service> services,
            CallerLimits limits,
            Optional<AccountDirectory> accounts) {
        this.version = version;
        this.limits = limits;
        this.accounts = accounts;
        this.services = services.stream().collect(Collectors.toUnmodifiableMap(Service::name, service -> service));
        routes.forEach(this::checkServices);
        routeCount = routes.size();
        // Longest prefix first, so that the first match is the most specific one.
        routesByHost = routes.stream()
                .sorted(Comparator.comparingInt((Route route) -> route.prefix().length())
                        .reversed())
                .collect(Collectors.groupingBy(Route::host));
    }

    /** Returns the version. */
    public long version() {
        return version;
    }

    /** Returns how many routes there are. */
    public int routeCount() {
        return routeCount;
    }

    /** Returns the limits on what callers send and how long they take. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the client accounts; empty if no request needs a key. */
    public Optional<AccountDirectory> accounts() {
        return accounts;
    }

    /** Returns the service with a name. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the route of the host with the longest prefix that the path starts with; empty if there is none.
     *
     * @param host value of the Host header; case and a port in it are ignored
     */
    public Optional<Route> match(String host, String path) {
        return routesByHost.getOrDefault(hostName(host), List.of()).stream()
                .filter(route -> path.startsWith(route.prefix()))
                .findFirst();
    }

    private void checkServices(Route route) {
        route.shares().stream()
                .filter(share -> !services.containsKey(share.service()))
                .findFirst()
                .ifPresent(share -> {
                    throw new IllegalArgumentException(
                            "route '" + route.name() + "' names the unknown service '" + share.service() + "'");
                });
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }

    /**
     * A service that upstreams serve.
     *
     * @param name unique name
     * @param healthPath path of its health endpoint; empty if it has none
     * @param connectionLimit connections that each upstream accepts
     */
    public record Service(String name, String healthPath, int connectionLimit) {}

    /**
     * Limits on what a caller sends.
     *
     * @param headerBytes largest request line, and largest size of all header fields
     * @param bodyBytes largest body of a request
     * @param headerTimeoutMillis longest time for sending the request line and header fields
     * @param idleTimeoutMillis how long a connection may stay open without a request
     */
    public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
        /** Limits in force until a configuration is known. */
        public static final CallerLimits DEFAULT = new CallerLimits(16_384, 64 << 20, 3_000, 15_000);

        /** Returns a copy of these limits with another limit of bodies. */
        public CallerLimits withBodyBytes(int newBodyBytes) {
            return new CallerLimits(headerBytes, newBodyBytes, headerTimeoutMillis, idleTimeoutMillis);
        }
    }
}
