package org.sardineshunt.engine.peer;

import java.util.Objects;

/**
 * The address at which a node listens for its peers. Immutable and thread-safe.
 *
 * @param nodeId ID of the node, not null
 * @param host host name or IP address, not null
 * @param port TCP port
 */
public record PeerAddress(String nodeId, String host, int port) {
    /** Rejects null values. */
    public PeerAddress {
        Objects.requireNonNull(nodeId, "nodeId");
        Objects.requireNonNull(host, "host of node '" + nodeId + "'");
    }
}
