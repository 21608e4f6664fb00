package org.sardineshunt.engine;

import java.net.InetSocketAddress;

/**
 * Settings of an engine, fixed from its start. Immutable and thread-safe.
 *
 * @param nodeId unique ID of the node
 * @param dataCentre data centre of the node
 * @param callerService service of the local upstream; upstreams receive it as the caller of requests that enter here
 * @param upstreamAddress address of the local upstream
 * @param callerAddress address at which the engine listens for callers
 * @param peerAddress address at which the engine listens for other nodes
 * @param headers names of the headers that the engine reads and sets
 * @param limits limits on what the engine may do
 */
public record EngineSettings(
        String nodeId,
        String dataCentre,
        String callerService,
        InetSocketAddress upstreamAddress,
        InetSocketAddress callerAddress,
        InetSocketAddress peerAddress,
        RequestHeaders headers,
        Limits limits) {
    /**
     * Limits on what the engine may do.
     *
     * @param floorShare share of a service's capacity that stays in rotation whatever its health
     * @param retryShare retries allowed per request in the long run, from 0 to 1
     * @param drainMillis time within which a leaving upstream receives its last request
     * @param stopTimeoutMillis time within which a stopping engine closes its connections
     */
    public record Limits(double floorShare, double retryShare, long drainMillis, long stopTimeoutMillis) {}
}
