package org.sardineshunt.node;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Rank;
import org.sardineshunt.kit.ByteSize;
import org.sardineshunt.kit.Json;
import org.sardineshunt.kit.TimeSpan;

/**
 * Settings of a node. Immutable; read from JSON with comments.
 *
 * @param nodeId unique name of the node; without dots, which separate the parts of a ticket
 * @param dataCentre data centre that it runs in
 * @param region region of the data centre
 * @param ports addresses that it listens on
 * @param seeds peer addresses, {@code host:port}, from which a starting node learns of the fleet
 * @param platform base URL of the platform's table service and object store
 * @param ranks ranks of requests, the most urgent first
 * @param routes routes; the first that matches a request applies
 * @param floorShare capacity floor: share of a service's announced capacity that stays in rotation even if upstreams
 *     are unhealthy or drained; 0.5 by default
 * @param accounts request rate limit of each client account
 * @param timing periods and timeouts
 * @param limits size and count limits
 */
public record NodeSettings(
        String nodeId,
        String dataCentre,
        String region,
        Ports ports,
        List<String> seeds,
        String platform,
        List<RankSettings> ranks,
        List<RouteSettings> routes,
        Double floorShare,
        AccountSettings accounts,
        TimingSettings timing,
        LimitSettings limits) {
    /** Fills in defaults and checks the values. */
    public NodeSettings {
        require(nodeId != null && nodeId.matches("[A-Za-z0-9_-]{1,48}"), "nodeId", nodeId, "letters, digits, - and _");
        require(dataCentre != null && !dataCentre.isBlank(), "dataCentre", dataCentre, "a name");
        require(region != null && !region.isBlank(), "region", region, "a name");
        require(platform != null && platform.matches("https?://.+"), "platform", platform, "an http URL");
        require(ranks != null && !ranks.isEmpty(), "ranks", ranks, "at least one rank");
        ports = Objects.requireNonNullElse(ports, new Ports("127.0.0.1", 0, 0, 0));
        seeds = seeds == null ? List.of() : List.copyOf(seeds);
        ranks = List.copyOf(ranks);
        routes = routes == null ? List.of() : List.copyOf(routes);
        floorShare = Objects.requireNonNullElse(floorShare, 0.5);
        require(floorShare >= 0 && floorShare <= 1, "floorShare", floorShare, "a share from 0 to 1");
        accounts = Objects.requireNonNullElse(accounts, new AccountSettings(1_000, 2_000, 10_000));
        timing = timing == null ? new TimingSettings(null, null, null, null, null, null, null, null) : timing;
        limits = limits == null ? new LimitSettings(null, null, null, null, null, null) : limits;
        Set<String> rankNames = new HashSet<>();
        ranks.forEach(rank -> require(rankNames.add(rank.name()), "ranks", rank.name(), "each rank once"));
        double shareSum =
                ranks.stream().mapToDouble(RankSettings::guaranteedShare).sum();
        require(shareSum <= 1, "ranks", shareSum, "guaranteed shares of 1 or less together");
        routes.forEach(
                route -> require(rankNames.contains(route.rank()), "routes", route.rank(), "a rank of " + rankNames));
    }

    /** Reads a file; returns the settings, or an error message with file, line and column. */
    public static Either<String, NodeSettings> read(Path file) {
        return Json.readFile(file, NodeSettings.class);
    }

    /** Returns the ranks for scheduling, the most urgent first, each with its position. */
    public List<Rank> orderedRanks() {
        return IntStream.range(0, ranks.size())
                .mapToObj(order -> new Rank(
                        ranks.get(order).name(), order, ranks.get(order).guaranteedShare()))
                .toList();
    }

    private static void require(boolean condition, String key, Object value, String allowed) {
        if (!condition) {
            throw new IllegalArgumentException(key + ": '" + value + "' is not allowed; allowed: " + allowed);
        }
    }

    /**
     * Addresses that a node listens on.
     *
     * @param host IP address
     * @param caller port for callers; for each port, 0 lets the system choose
     * @param operator port for operators, announcements and metrics
     * @param peer port for other nodes
     */
    public record Ports(String host, int caller, int operator, int peer) {}

    /**
     * A rank of requests.
     *
     * @param name unique name
     * @param guaranteedShare share of the slots that it gets even while other ranks are overloaded, from 0 to 1
     */
    public record RankSettings(String name, double guaranteedShare) {}

    /**
     * A route: which requests a service gets, and how they are treated.
     *
     * @param method HTTP method, or {@code *} for all
     * @param path path prefix in whole segments, starts with a slash
     * @param service service whose upstreams serve it
     * @param rank rank of its requests
     * @param idempotent whether running a request twice is harmless
     * @param keyRequired whether a request must carry an idempotency key
     * @param deadline maximum time for the whole request; a caller may ask for less
     */
    public record RouteSettings(
            String method,
            String path,
            String service,
            String rank,
            boolean idempotent,
            boolean keyRequired,
            TimeSpan deadline) {
        /** Checks the values. */
        public RouteSettings {
            require(path != null && path.startsWith("/"), "path", path, "a path that starts with /");
            require(service != null && !service.isBlank(), "service", service, "a name");
            require(!(idempotent && keyRequired), "keyRequired", true, "a key only for work that isn't idempotent");
            method = Objects.requireNonNullElse(method, "*");
            deadline = Objects.requireNonNullElse(deadline, new TimeSpan(3_000));
        }
    }

    /**
     * Request rate limit of each client account at one node.
     *
     * @param requestsPerSecond sustained rate
     * @param burst requests that an account may send at once
     * @param kept maximum number of accounts whose rate is tracked
     */
    public record AccountSettings(double requestsPerSecond, double burst, int kept) {}

    /**
     * Periods and timeouts.
     *
     * @param probePeriod time between membership probes
     * @param probeTimeout maximum time for the answer to a direct probe; less than half of the probe period
     * @param linkSilence time without a frame after which a peer link is closed
     * @param announcementLease time after its last announcement at which an upstream is removed
     * @param coldStartRamp time over which the concurrency limit of a new upstream rises to its slots
     * @param pollPeriod time between polls of the table service for configuration changes
     * @param stopGrace time for which a stopping node still serves callers, while they and its peers learn of the stop
     * @param stopLimit maximum time that a stopping node waits for requests in flight
     */
    public record TimingSettings(
            TimeSpan probePeriod,
            TimeSpan probeTimeout,
            TimeSpan linkSilence,
            TimeSpan announcementLease,
            TimeSpan coldStartRamp,
            TimeSpan pollPeriod,
            TimeSpan stopGrace,
            TimeSpan stopLimit) {
        /** Fills in defaults and checks the values. */
        public TimingSettings {
            probePeriod = Objects.requireNonNullElse(probePeriod, new TimeSpan(1_000));
            probeTimeout = Objects.requireNonNullElse(probeTimeout, new TimeSpan(300));
            linkSilence = Objects.requireNonNullElse(linkSilence, new TimeSpan(1_500));
            announcementLease = Objects.requireNonNullElse(announcementLease, new TimeSpan(2_000));
            coldStartRamp = Objects.requireNonNullElse(coldStartRamp, new TimeSpan(2_000));
            pollPeriod = Objects.requireNonNullElse(pollPeriod, new TimeSpan(2_000));
            stopGrace = Objects.requireNonNullElse(stopGrace, new TimeSpan(1_000));
            stopLimit = Objects.requireNonNullElse(stopLimit, new TimeSpan(30_000));
            // A direct probe and the indirect one after it, each with this timeout, must end within one period.
            require(
                    probeTimeout.millis() * 2 < probePeriod.millis(),
                    "probeTimeout",
                    probeTimeout.text(),
                    "less than half of probePeriod " + probePeriod.text());
        }
    }

    /**
     * Size and count limits.
     *
     * @param body maximum size of a request or answer body
     * @param frame maximum size of a frame of a peer link; more than a body, which travels in one frame
     * @param queuePerRank maximum number of requests of one rank that wait at one upstream
     * @param keptKeys maximum number of outcomes of keyed requests that the node keeps
     * @param claimsPerSecond maximum number of transactions per second that the node uses to claim idempotency keys
     * @param refuseWithoutSlack whether a request that can't be answered before its deadline is refused at once instead
     *     of waiting
     */
    public record LimitSettings(
            ByteSize body,
            ByteSize frame,
            Integer queuePerRank,
            Integer keptKeys,
            Integer claimsPerSecond,
            Boolean refuseWithoutSlack) {
        /** Fills in defaults and checks the values. */
        public LimitSettings {
            body = Objects.requireNonNullElse(body, new ByteSize(1 << 20));
            frame = Objects.requireNonNullElse(frame, new ByteSize(2 << 20));
            queuePerRank = Objects.requireNonNullElse(queuePerRank, 128);
            keptKeys = Objects.requireNonNullElse(keptKeys, 50_000);
            claimsPerSecond = Objects.requireNonNullElse(claimsPerSecond, 30);
            refuseWithoutSlack = Objects.requireNonNullElse(refuseWithoutSlack, true);
            require(frame.bytes() > body.bytes(), "frame", frame.text(), "more than body " + body.text());
        }
    }
}
