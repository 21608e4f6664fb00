package org.sardineshunt.engine.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Decides which records of a node are newer than the known one. Records arrive from the table and from the nodes
 * themselves, in any order. Start times don't order the processes of a node, because its clock may be set back between
 * two of them; an incarnation that another one has followed counts as over. Not thread-safe.
 */
final class NodeRecordOrder {
    // Records of even earlier processes can't arrive any more: their links and their writes have ended.
    private static final int MAXIMUM_EARLIER_INCARNATIONS = 4;

    private final Map<String, Latest> latestByNode = new HashMap<>();

    /** Returns whether a record that the node itself has sent is newer, and keeps it as the latest if it is. */
    boolean acceptSent(String nodeId, long incarnation, long sequence) {
        Latest latest = latestByNode.get(nodeId);
        boolean accepted = latest == null
                || (incarnation == latest.incarnation() ? sequence > latest.sequence() : !latest.follows(incarnation));
        if (accepted) {
            keep(nodeId, latest, incarnation, sequence, false);
        }
        return accepted;
    }

    /**
     * Returns whether a record from the table is at least as new, and keeps it as the latest if it is. Records of nodes
     * that send none have no sequence and come from the table only, in order.
     */
    boolean acceptStored(String nodeId, long incarnation, long sequence) {
        Latest latest = latestByNode.get(nodeId);
        if (latest == null || incarnation == latest.incarnation()) {
            boolean accepted = latest == null || sequence == 0 || sequence >= latest.sequence();
            keep(nodeId, latest, incarnation, accepted ? sequence : latest.sequence(), true);
            return accepted;
        }
        // Until the table has shown the process that sent the latest record, it may still hold the row of one before.
        boolean accepted = !latest.follows(incarnation) && (latest.stored() || incarnation > latest.incarnation());
        if (accepted) {
            keep(nodeId, latest, incarnation, sequence, true);
        }
        return accepted;
    }

    /** Forgets a node whose row was removed. */
    void forget(String nodeId) {
        latestByNode.remove(nodeId);
    }

    private void keep(String nodeId, Latest latest, long incarnation, long sequence, boolean stored) {
        latestByNode.put(
                nodeId,
                latest == null
                        ? new Latest(incarnation, sequence, stored, List.of())
                        : latest.followedBy(incarnation, sequence, stored));
    }

    /**
     * The latest record of a node.
     *
     * @param stored whether the table has shown a record of this incarnation
     * @param earlierIncarnations incarnations that this one has followed, the last one first
     */
    private record Latest(long incarnation, long sequence, boolean stored, List<Long> earlierIncarnations) {
        boolean follows(long otherIncarnation) {
            return earlierIncarnations.contains(otherIncarnation);
        }

        Latest followedBy(long newIncarnation, long newSequence, boolean newStored) {
            if (newIncarnation == incarnation) {
                return new Latest(incarnation, newSequence, stored || newStored, earlierIncarnations);
            }
            List<Long> earlier = Stream.concat(Stream.of(incarnation), earlierIncarnations.stream())
                    .limit(MAXIMUM_EARLIER_INCARNATIONS)
                    .toList();
            return new Latest(newIncarnation, newSequence, newStored, earlier);
        }
    }
}
