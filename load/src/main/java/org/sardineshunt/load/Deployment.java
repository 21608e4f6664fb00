package org.sardineshunt.load;

import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.sardineshunt.kit.Json;
import org.sardineshunt.kit.TimeSpan;
import org.sardineshunt.node.NodeSettings;

/**
 * Sizes of a deployment for experiments. Immutable; read from JSON with comments.
 *
 * @param region region of all data centres
 * @param dataCentres data centres
 * @param nodesPerDataCentre nodes in each of them
 * @param clientDelay round trip between callers and nodes, added to each request by the load tool
 * @param nodeSettings settings file, relative to this one, whose ranks and routes all nodes take
 * @param services services with their upstreams
 * @param kinds kinds of requests, the most urgent first
 * @param sharedService service that floods are aimed at
 * @param sharedPaths starts of the paths that this service serves
 */
public record Deployment(
        String region,
        List<String> dataCentres,
        int nodesPerDataCentre,
        TimeSpan clientDelay,
        String nodeSettings,
        List<ServiceSize> services,
        List<WorkKind> kinds,
        String sharedService,
        List<String> sharedPaths) {
    /** Copies the lists. */
    public Deployment {
        dataCentres = List.copyOf(dataCentres);
        services = List.copyOf(services);
        kinds = List.copyOf(kinds);
        sharedPaths = sharedPaths == null ? List.of() : List.copyOf(sharedPaths);
    }

    /** Returns the deployment of a file, or a message with file, line and column. */
    public static Either<String, Deployment> read(Path file) {
        return Json.readFile(file, Deployment.class);
    }

    /** Returns the settings that all nodes take their ranks and routes from. */
    public Either<String, NodeSettings> readNodeSettings(Path deploymentFile) {
        return NodeSettings.read(deploymentFile.resolveSibling(nodeSettings).normalize());
    }

    /** Returns the kinds that share one service, the most urgent first. */
    public List<WorkKind> sharedKinds() {
        return kinds.stream().filter(kind -> sharedPaths.contains(kind.path())).toList();
    }

    /** Returns the requests a second that a service can serve. */
    public double capacityPerSecond(String service) {
        return services.stream()
                .filter(size -> size.name().equals(service))
                .mapToDouble(size -> size.upstreams()
                        * size.slots()
                        * 1_000.0
                        / size.serviceTime().millis())
                .sum();
    }

    /**
     * Size of a service.
     *
     * @param name its name
     * @param upstreams number of upstreams
     * @param slots slots of each
     * @param serviceTime mean service time
     */
    public record ServiceSize(String name, int upstreams, int slots, TimeSpan serviceTime) {}

    /**
     * A kind of requests.
     *
     * @param name its name
     * @param rank rank that its route gives it
     * @param method HTTP method
     * @param path start of its paths
     * @param keyed whether each request carries an idempotency key
     * @param target time in which an answer counts as served in time
     * @param rate usual requests a second
     * @param worth worth of a request served in time
     */
    public record WorkKind(
            String name,
            String rank,
            String method,
            String path,
            boolean keyed,
            TimeSpan target,
            double rate,
            double worth) {}
}
