package org.sardineshunt.engine;

import java.net.InetSocketAddress;

import org.sardineshunt.coordination.account.LimitBounds;

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
 * @param resources resources that the process may use
 * @param accountBounds by how much the limits of client accounts may be exceeded
 */
public record EngineSettings(
        String nodeId,
        String dataCentre,
        String callerService,
        InetSocketAddress upstreamAddress,
        InetSocketAddress callerAddress,
        InetSocketAddress peerAddress,
        RequestHeaders headers,
        Limits limits,
        Resources resources,
        AccountBounds accountBounds) {
    /**
     * Limits on what the engine may do.
     *
     * @param floorShare share of a service's capacity that stays in rotation whatever its health
     * @param retryShare retries allowed per request in the long run, from 0 to 1
     * @param drainMillis time within which a leaving upstream receives its last request
     * @param stopTimeoutMillis time within which a stopping engine closes its connections
     * @param hedgeShare hedged attempts allowed per request of a service in the long run; 0 for none
     */
    public record Limits(
            double floorShare, double retryShare, long drainMillis, long stopTimeoutMillis, double hedgeShare) {}

    /**
     * Resources that the process may use.
     *
     * @param memoryBytes memory of the process, including that of the runtime
     * @param fileDescriptors open files and connections together
     */
    public record Resources(long memoryBytes, int fileDescriptors) {
        /** Resources that are assumed where the settings state none. */
        public static final Resources DEFAULT = new Resources(330L << 20, 4_096);
    }

    /**
     * By how much the limits of client accounts may be exceeded. In any window, all nodes together may run at most
     * (rate x window + burst) x (1 + overage) + slack requests of an account.
     *
     * @param windowMillis length of the window
     * @param overage share by which the limit may be exceeded
     * @param slack requests by which it may be exceeded, too
     */
    public record AccountBounds(long windowMillis, double overage, double slack) {
        /** Bounds that are assumed where the settings state none. */
        public static final AccountBounds DEFAULT = new AccountBounds(5_000, 0, 0);

        /** Returns these bounds for the limiting of accounts. */
        LimitBounds toLimitBounds() {
            return new LimitBounds(windowMillis, overage, slack);
        }
    }
}
