package org.sardineshunt.node.peer;

import org.sardineshunt.protocol.PeerMessages.Gossip;
import org.sardineshunt.protocol.PeerMessages.SyncReply;

/** What travels with gossip besides member records: the configuration and crash records. */
public interface GossipExtension {
    /** Returns the revision that this node holds. */
    long revision();

    /** Returns how many updates wait to be sent. */
    int pendingUpdates();

    /** Adds pending updates to a message. */
    void addUpdates(Gossip.Builder gossip, int fleetSize);

    /** Takes over the updates of a message. */
    void acceptGossip(String remoteNodeId, Gossip gossip);

    /** Adds what a node with some revision lacks. */
    void addMissingChanges(long remoteRevision, SyncReply.Builder reply);

    /** Takes over what another node sent. */
    void acceptSyncReply(SyncReply reply);
}
