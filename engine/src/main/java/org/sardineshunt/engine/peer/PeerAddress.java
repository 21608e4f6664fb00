package org.sardineshunt.engine.peer;

import java.util.Objects;

import io.netty.util.NetUtil;

/**
 * The address at which a node listens for its peers. Immutable and thread-safe.
 *
 * @param nodeId ID of the node, not null
 * @param host IP address as text, not null; a name would need a lookup, which blocks
 * @param port TCP port, 1 to 65535
 */
public record PeerAddress(String nodeId, String host, int port) {
    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if the host is not an IP address or the port is out of range
     */
    public PeerAddress {
        Objects.requireNonNull(nodeId, "nodeId");
        Objects.requireNonNull(host, "host of node '" + nodeId + "'");
        if (!NetUtil.isValidIpV4Address(host) && !NetUtil.isValidIpV6Address(host)) {
            throw new IllegalArgumentException("host of node '" + nodeId + "' is not an IP address");
        }
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException(
                    "port " + port + " of node '" + nodeId + "' is not from 1 to " + MAXIMUM_PORT);
        }
    }
}
