package org.sardineshunt.engine.peer;

import java.util.Optional;

import org.sardineshunt.coordination.announcement.Announcement;

/**
 * A node as its row in the table describes it. Immutable and thread-safe.
 *
 * @param address where it listens for peers
 * @param incarnation start of its process
 * @param dataCentre its data centre
 * @param stopping whether it takes no new work
 * @param upstream the upstream beside it
 */
public record KnownNode(
        PeerAddress address, long incarnation, String dataCentre, boolean stopping, Optional<Announcement> upstream) {}
