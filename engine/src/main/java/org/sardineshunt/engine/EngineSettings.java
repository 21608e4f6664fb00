package org.sardineshunt.engine;

import java.net.InetSocketAddress;

/**
 * What an engine is told at its start. Immutable and thread-safe.
 *
 * @param nodeId unique name of the node
 * @param dataCentre data centre of the node
 * @param callerService service of the upstream beside the node
 * @param upstreamAddress where that upstream listens
 * @param callerAddress where callers connect
 * @param peerAddress where other nodes connect
 * @param headers names of header fields
 * @param limits bounds on what the engine may do
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
     * Bounds on what the engine may do.
     *
     * @param floorShare part of a service's capacity that stays in use whatever its health
     * @param retryShare retries per request in the long run
     * @param drainMillis time within which a leaving upstream receives its last work
     * @param stopTimeoutMillis time within which a stopping process must have ended
     */
    public record Limits(double floorShare, double retryShare, long drainMillis, long stopTimeoutMillis) {}
}
