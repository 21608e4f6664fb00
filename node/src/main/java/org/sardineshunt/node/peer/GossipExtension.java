package org.sardineshunt.node.peer;

import org.sardineshunt.protocol.PeerMessages.Gossip;
import org.sardineshunt.protocol.PeerMessages.SyncReply;

/** State that gossip carries besides member records. Called on the control thread. */
public interface GossipExtension {
    /** Returns the configuration revision that this node holds. */
    long revision();

    /** Returns the number of updates that are still to be sent. */
    int pendingUpdates();

    /** Adds pending updates to a gossip message in a fleet of the given size. */
    void addUpdates(Gossip.Builder gossip, int fleetSize);

    /** Merges the updates of a gossip message. */
    void acceptGossip(String remoteNodeId, Gossip gossip);

    /** Adds the changes that a node with a given revision lacks. */
    void addMissingChanges(long remoteRevision, SyncReply.Builder reply);

    /** Merges the changes of a reply to a sync request. */
    void acceptSyncReply(SyncReply reply);
}
