package org.sardineshunt.node.peer;

import java.util.function.Consumer;

import org.sardineshunt.node.platform.ConfigurationService;
import org.sardineshunt.protocol.PeerMessages.Gossip;
import org.sardineshunt.protocol.PeerMessages.SyncReply;

/** Adds changes of the intents and crash records to membership gossip. Confined to the control thread. */
public final class FleetGossip implements GossipExtension {
    private final ConfigurationService configuration;
    private final CrashRegistry crashes;
    private Consumer<String> onNewerRevision = nodeId -> {};

    /** Creates the extension. */
    public FleetGossip(ConfigurationService configuration, CrashRegistry crashes) {
        this.configuration = configuration;
        this.crashes = crashes;
    }

    /** Sets the callback that gets the id of a node that holds a later revision than this one. */
    public void onNewerRevision(Consumer<String> callback) {
        onNewerRevision = callback;
    }

    @Override
    public long revision() {
        return configuration.intents().revision();
    }

    @Override
    public int pendingUpdates() {
        return configuration.pendingUpdates() + crashes.pendingUpdates();
    }

    @Override
    public void addUpdates(Gossip.Builder gossip, int fleetSize) {
        configuration.addUpdates(gossip, fleetSize);
        crashes.addUpdates(gossip, fleetSize);
    }

    @Override
    public void acceptGossip(String remoteNodeId, Gossip gossip) {
        crashes.acceptGossip(gossip);
        if (configuration.acceptGossip(gossip)) {
            onNewerRevision.accept(remoteNodeId);
        }
    }

    @Override
    public void addMissingChanges(long remoteRevision, SyncReply.Builder reply) {
        configuration.addMissingChanges(remoteRevision, reply);
    }

    @Override
    public void acceptSyncReply(SyncReply reply) {
        configuration.acceptSyncReply(reply);
    }
}
