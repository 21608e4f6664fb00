package org.sardineshunt.load;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import org.sardineshunt.load.Deployment.ServiceSize;
import org.sardineshunt.node.Node;
import org.sardineshunt.node.NodeSettings;
import org.sardineshunt.node.peer.FrameFilter;
import org.sardineshunt.standin.BackendServerStandIn;
import org.sardineshunt.standin.PlatformStandIn;
import org.sardineshunt.standin.ServerOptions;

/**
 * Runs nodes, backend servers and the platform stand-in in one process, on free ports of the loopback address.
 *
 * <p>Frames can be dropped in one direction of a peer link; nodes and backend servers can be killed and started again.
 * Not thread-safe, except for {@link #runsByWorkId()}.
 */
public final class LocalFleet implements AutoCloseable {
    private static final long JOIN_TIMEOUT_SECONDS = 20;

    private final Deployment deployment;
    private final NodeSettings template;
    private final UnaryOperator<NodeSettings> adjustSettings;
    private final PlatformStandIn platform;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, BackendServerStandIn> servers = new LinkedHashMap<>();
    private final Map<String, String> homeByUpstream = new LinkedHashMap<>();
    private final Map<String, Integer> runsOfRetiredServers = new ConcurrentHashMap<>();
    private final Set<String> partitions = ConcurrentHashMap.newKeySet();
    private final Set<String> crashedServerIds = ConcurrentHashMap.newKeySet();

    private LocalFleet(Deployment deployment, NodeSettings template, UnaryOperator<NodeSettings> adjustSettings) {
        this.deployment = deployment;
        this.template = template;
        this.adjustSettings = adjustSettings;
        this.platform = PlatformStandIn.start(0);
    }

    /**
     * Starts a fleet and waits until all nodes serve and have all upstreams in rotation.
     *
     * @param template settings from which the nodes take ranks, routes, timing and limits
     * @param adjustSettings returns the settings to start a node with, given those it would start with
     */
    public static LocalFleet start(
            Deployment deployment, NodeSettings template, UnaryOperator<NodeSettings> adjustSettings) {
        LocalFleet fleet = new LocalFleet(deployment, template, adjustSettings);
        for (String dataCentre : deployment.dataCentres()) {
            for (int number = 1; number <= deployment.nodesPerDataCentre(); number++) {
                fleet.startNode(dataCentre + "-n" + number, dataCentre);
            }
        }
        fleet.startServers();
        fleet.awaitUpstreams();
        return fleet;
    }

    /** Returns the platform stand-in. */
    public PlatformStandIn platform() {
        return platform;
    }

    /** Returns the ids of all running nodes. */
    public List<String> nodeIds() {
        return List.copyOf(nodes.keySet());
    }

    /** Returns a running node, or null if no node with this id runs. */
    public Node node(String nodeId) {
        return nodes.get(nodeId);
    }

    /** Returns a backend server by the id of its upstream, or null. */
    public BackendServerStandIn server(String upstreamId) {
        return servers.get(upstreamId);
    }

    /** Returns the ids of the upstreams of a service. */
    public List<String> upstreamIds(String service) {
        return servers.keySet().stream()
                .filter(id -> id.startsWith(service + "-"))
                .toList();
    }

    /** Returns the ids of all upstreams. */
    public List<String> allUpstreamIds() {
        return List.copyOf(servers.keySet());
    }

    /** Returns how many requests the backend servers have received, without servers that were replaced. */
    public int receivedRequests() {
        return servers.values().stream()
                .mapToInt(BackendServerStandIn::receivedRequests)
                .sum();
    }

    /** Returns the id of the home node of an upstream. */
    public String homeOf(String upstreamId) {
        return homeByUpstream.get(upstreamId);
    }

    /** Returns the base URLs of the caller ports of all running nodes. */
    public List<String> callerUrls() {
        return nodes.values().stream()
                .map(node -> "http://127.0.0.1:" + node.callerPort())
                .toList();
    }

    /** Returns the base URL of the operator port of a node. */
    public String operatorUrl(String nodeId) {
        return "http://127.0.0.1:" + nodes.get(nodeId).operatorPort();
    }

    /** Drops all frames that one node sends to another, without closing their connections. */
    public void partition(String from, String to) {
        partitions.add(from + '>' + to);
    }

    /** Stops dropping frames. */
    public void healPartitions() {
        partitions.clear();
    }

    /** Stops a node at once, as a crash would. */
    public void killNode(String nodeId) {
        nodes.remove(nodeId).kill();
    }

    /** Stops a node gracefully; returns whether no request in flight was cut off. */
    public boolean stopNode(String nodeId) {
        return nodes.remove(nodeId).stop();
    }

    /**
     * Starts a node, without backend servers, and waits until it serves callers.
     *
     * @throws java.util.concurrent.CompletionException if it doesn't within 20 s
     */
    public Node startNode(String nodeId, String dataCentre) {
        List<String> seeds = nodes.values().stream()
                .limit(3)
                .map(node -> "127.0.0.1:" + node.peerPort())
                .toList();
        NodeSettings settings = adjustSettings.apply(new NodeSettings(
                nodeId,
                dataCentre,
                deployment.region(),
                new NodeSettings.Ports("127.0.0.1", 0, 0, 0),
                seeds,
                "http://127.0.0.1:" + platform.port(),
                template.ranks(),
                template.routes(),
                template.floorShare(),
                // High enough that the load of tests and experiments never reaches the limit.
                new NodeSettings.AccountSettings(1_000_000, 1_000_000, 100),
                template.timing(),
                template.limits()));
        FrameFilter filter = remote -> !partitions.contains(nodeId + '>' + remote);
        Node node = Node.start(settings, filter);
        node.whenReady().orTimeout(JOIN_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
        nodes.put(nodeId, node);
        return node;
    }

    /** Starts a backend server that announces itself to a node, its home; a crash closes the server. */
    public BackendServerStandIn startServer(ServerOptions options, String nodeId) {
        BackendServerStandIn server =
                BackendServerStandIn.start(options, () -> new Thread(() -> crashServer(options.id())).start());
        servers.put(options.id(), server);
        homeByUpstream.put(options.id(), nodeId);
        return server;
    }

    /** Closes a backend server at once, with all its connections. */
    public void crashServer(String upstreamId) {
        if (crashedServerIds.add(upstreamId)) {
            BackendServerStandIn server = servers.get(upstreamId);
            server.close();
        }
    }

    /** Returns the upstream ids of the backend servers that crashed. */
    public Set<String> crashedServers() {
        return new HashSet<>(crashedServerIds);
    }

    /** Returns how often all backend servers together ran each work id, servers of replaced nodes included. */
    public Map<String, Integer> runsByWorkId() {
        Map<String, Integer> total = new TreeMap<>(runsOfRetiredServers);
        servers.values()
                .forEach(server -> server.runsByWorkId().forEach((id, count) -> total.merge(id, count, Integer::sum)));
        return total;
    }

    /**
     * Replaces a node and its backend servers: stops the node gracefully, then starts it as another incarnation.
     *
     * @return whether the stop cut off no request in flight
     */
    public boolean replaceNode(String nodeId, String dataCentre) {
        List<String> upstreamIds = homeByUpstream.entrySet().stream()
                .filter(entry -> entry.getValue().equals(nodeId))
                .map(Map.Entry::getKey)
                .toList();
        boolean nothingCutOff = stopNode(nodeId);
        upstreamIds.forEach(this::retireServer);
        startNode(nodeId, dataCentre);
        upstreamIds.forEach(id -> startServer(serverOptions(id, nodeId), nodeId));
        return nothingCutOff;
    }

    @Override
    public void close() {
        servers.values().forEach(BackendServerStandIn::close);
        nodes.values().forEach(Node::kill);
        platform.close();
    }

    private void retireServer(String upstreamId) {
        BackendServerStandIn server = servers.remove(upstreamId);
        server.runsByWorkId().forEach((id, count) -> runsOfRetiredServers.merge(id, count, Integer::sum));
        server.close();
    }

    private void startServers() {
        List<String> nodeIds = nodeIds();
        int nextNode = 0;
        for (ServiceSize service : deployment.services()) {
            for (int number = 1; number <= service.upstreams(); number++) {
                String nodeId = nodeIds.get(nextNode++ % nodeIds.size());
                String upstreamId = service.name() + "-" + number;
                startServer(serverOptions(upstreamId, nodeId), nodeId);
            }
        }
    }

    private ServerOptions serverOptions(String upstreamId, String nodeId) {
        String service = upstreamId.substring(0, upstreamId.lastIndexOf('-'));
        ServiceSize size = deployment.services().stream()
                .filter(candidate -> candidate.name().equals(service))
                .findFirst()
                .orElseThrow();
        String number = upstreamId.substring(upstreamId.lastIndexOf('-') + 1);
        return ServerOptions.of(upstreamId, service, nodes.get(nodeId).operatorPort())
                .withCapacity(size.slots(), (int) size.serviceTime().millis())
                .withLabels(Map.of("number", number));
    }

    private void awaitUpstreams() {
        OperatorClient operatorClient = new OperatorClient(this);
        List<String> expected = new ArrayList<>(servers.keySet());
        operatorClient.await("all upstreams in rotation", () -> nodeIds().stream()
                .allMatch(nodeId -> operatorClient.upstreamsInRotation(nodeId).containsAll(expected)));
    }
}
