package org.sardineshunt.node.peer;

import java.util.List;

import org.jboss.logging.Logger;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.membership.GossipQueue;
import org.sardineshunt.node.ControlThread;
import org.sardineshunt.protocol.PeerMessages.CrashRecord;
import org.sardineshunt.protocol.PeerMessages.Gossip;

/**
 * Registry of requests that crashed upstreams, shared with the whole fleet by gossip. Confined to the control thread.
 *
 * <p>A request is identified by its fingerprint.
 */
public final class CrashRegistry {
    private static final Logger LOG = Logger.getLogger(CrashRegistry.class);
    /** More than one, as a crash also counts against requests that merely shared the upstream. */
    private static final int CRASH_LIMIT = 2;

    private static final long RECORD_RETENTION_MILLIS = 600_000;
    private static final int MAXIMUM_RECORDS_PER_MESSAGE = 8;
    /** Sends of each record for every factor of ten in the size of the fleet. */
    private static final int GOSSIP_RETRANSMIT_MULTIPLIER = 4;

    private final ControlThread control;
    private final CrashingRequestDetector detector = new CrashingRequestDetector(CRASH_LIMIT, RECORD_RETENTION_MILLIS);
    private final GossipQueue<CrashRecord> pendingRecords = new GossipQueue<>(GOSSIP_RETRANSMIT_MULTIPLIER);
    private Runnable onCrashRecorded = () -> {};

    /** Creates an empty registry. */
    public CrashRegistry(ControlThread control) {
        this.control = control;
    }

    /** Sets the callback that runs after each new record, so that it can be gossiped without waiting for a probe. */
    public void onCrashRecorded(Runnable callback) {
        onCrashRecorded = callback;
    }

    /** Returns whether a request must be refused because it crashed too many upstreams. */
    public boolean mustRefuse(String fingerprint) {
        return detector.mustRefuse(control.nowMillis(), fingerprint);
    }

    /** Returns whether an upstream crashed while it ran a request that has not been answered since. */
    public boolean isSuspect(String fingerprint) {
        return detector.isSuspect(control.nowMillis(), fingerprint);
    }

    /** Records that an upstream crashed while it ran a request; a known record changes nothing. */
    public void recordCrash(String fingerprint, String upstreamId) {
        if (detector.recordCrash(control.nowMillis(), fingerprint, upstreamId)) {
            LOG.warnf("upstream '%s' crashed while it ran request %s", upstreamId, fingerprint);
            pendingRecords.add(
                    fingerprint + '/' + upstreamId,
                    CrashRecord.newBuilder()
                            .setFingerprint(fingerprint)
                            .setUpstreamId(upstreamId)
                            .build());
            onCrashRecorded.run();
        }
    }

    /** Records that a request was answered, which clears it unless it is refused already. */
    public void recordAnswer(String fingerprint) {
        detector.recordAnswer(fingerprint);
    }

    /** Returns the fingerprints of the refused requests. */
    public List<String> refusedFingerprints() {
        return detector.refusedFingerprints();
    }

    /** Removes expired records. */
    public void expire() {
        detector.expire(control.nowMillis());
    }

    int pendingUpdates() {
        return pendingRecords.size();
    }

    void addUpdates(Gossip.Builder gossip, int fleetSize) {
        gossip.addAllCrashes(pendingRecords.take(MAXIMUM_RECORDS_PER_MESSAGE, fleetSize));
    }

    void acceptGossip(Gossip gossip) {
        gossip.getCrashesList().forEach(crash -> recordCrash(crash.getFingerprint(), crash.getUpstreamId()));
    }
}
