package org.sardineshunt.engine.peer;

import java.util.Objects;

/**
 * Where a node listens for its peers. Immutable and thread-safe.
 *
 * @param nodeId name of the node, not null
 * @param host host name or number, not null
 * @param port port for peers
 */
public record PeerAddress(String nodeId, String host, int port) {
    /** Checks the values. */
    public PeerAddress {
        Objects.requireNonNull(nodeId, "nodeId");
        Objects.requireNonNull(host, "host of '" + nodeId + "'");
    }
}
