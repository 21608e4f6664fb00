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
 * @param dataCentres names of the data centres
 * @param nodesPerDataCentre number of nodes in each data centre
 * @param clientDelay round-trip time between callers and nodes, which the load tool adds to each send
 * @param nodeSettings settings file from which all nodes take ranks and routes; its path is relative to the deployment
 *     file
 * @param services services and their sizes
 * @param kinds kinds of requests, the most urgent first
 * @param sharedService service that flood scenarios overload
 * @param sharedPaths prefixes of the paths that this service serves; none if null
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
    /** Creates a deployment with copies of the lists. */
    public Deployment {
        dataCentres = List.copyOf(dataCentres);
        services = List.copyOf(services);
        kinds = List.copyOf(kinds);
        sharedPaths = sharedPaths == null ? List.of() : List.copyOf(sharedPaths);
    }

    /** Reads a deployment file; returns the deployment, or an error message with file, line and column. */
    public static Either<String, Deployment> read(Path file) {
        return Json.readFile(file, Deployment.class);
    }

    /**
     * Reads the settings from which all nodes take their ranks and routes.
     *
     * @param deploymentFile the file that this deployment was read from
     * @return the settings, or an error message with file, line and column
     */
    public Either<String, NodeSettings> readNodeSettings(Path deploymentFile) {
        return NodeSettings.read(deploymentFile.resolveSibling(nodeSettings).normalize());
    }

    /** Returns the kinds of requests that the shared service serves, the most urgent first. */
    public List<WorkKind> sharedKinds() {
        return kinds.stream().filter(kind -> sharedPaths.contains(kind.path())).toList();
    }

    /** Returns the requests per second that all upstreams of a service can serve together; 0 for an unknown service. */
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
     * @param name name of the service
     * @param upstreams number of upstreams
     * @param slots number of requests that each upstream runs at the same time
     * @param serviceTime mean service time of a request
     */
    public record ServiceSize(String name, int upstreams, int slots, TimeSpan serviceTime) {}

    /**
     * A kind of request.
     *
     * @param name name of the kind
     * @param rank rank that its route gives it
     * @param method HTTP method
     * @param path prefix of its paths
     * @param keyed whether each request carries an idempotency key
     * @param target latency up to which a request counts as served in time
     * @param rate usual number of requests per second
     * @param worth value of one request served in time, relative to those of other kinds
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
