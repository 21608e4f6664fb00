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
        return accept(nodeId, incarnation, sequence, latest == null || sequence > latest.sequence());
    }

    /**
     * Returns whether a record from the table is at least as new, and keeps it as the latest if it is. Records of nodes
     * that send none have no sequence and come from the table only, in order.
     */
    boolean acceptStored(String nodeId, long incarnation, long sequence) {
        Latest latest = latestByNode.get(nodeId);
        return accept(nodeId, incarnation, sequence, latest == null || sequence == 0 || sequence >= latest.sequence());
    }

    /** Forgets a node whose row was removed. */
    void forget(String nodeId) {
        latestByNode.remove(nodeId);
    }

    private boolean accept(String nodeId, long incarnation, long sequence, boolean newerInIncarnation) {
        Latest latest = latestByNode.get(nodeId);
        boolean accepted = latest == null
                || (incarnation == latest.incarnation()
                        ? newerInIncarnation
                        : !latest.earlierIncarnations().contains(incarnation));
        if (accepted) {
            latestByNode.put(
                    nodeId,
                    latest == null
                            ? new Latest(incarnation, sequence, List.of())
                            : latest.followedBy(incarnation, sequence));
        }
        return accepted;
    }

    private record Latest(long incarnation, long sequence, List<Long> earlierIncarnations) {
        Latest followedBy(long newIncarnation, long newSequence) {
            if (newIncarnation == incarnation) {
                return new Latest(incarnation, newSequence, earlierIncarnations);
            }
            List<Long> earlier = Stream.concat(Stream.of(incarnation), earlierIncarnations.stream())
                    .limit(MAXIMUM_EARLIER_INCARNATIONS)
                    .toList();
            return new Latest(newIncarnation, newSequence, earlier);
        }
    }
}
