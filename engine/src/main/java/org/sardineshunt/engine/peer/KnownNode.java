package org.sardineshunt.engine.peer;

import java.util.Optional;

import org.sardineshunt.coordination.announcement.Announcement;

/**
 * A node as described by its row in the table. Immutable and thread-safe.
 *
 * @param address address at which it listens for peers
 * @param incarnation start time of its process, in milliseconds since the epoch
 * @param dataCentre data centre in which it runs
 * @param stopping whether it accepts no new requests
 * @param upstream last announcement of its local upstream; empty if there is none
 * @param protocolLevel messages that it understands, see {@link PeerNetwork#PROTOCOL_LEVEL}
 */
public record KnownNode(
        PeerAddress address,
        long incarnation,
        String dataCentre,
        boolean stopping,
        Optional<Announcement> upstream,
        int protocolLevel) {}
