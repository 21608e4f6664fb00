package org.sardineshunt.node.peer;

import java.util.concurrent.atomic.LongAdder;

import org.sardineshunt.protocol.PeerMessages.Envelope;

/** Counts the bytes that a node sends over its peer links; callers' requests count separately. Thread-safe. */
public final class LinkTraffic {
    private static final int LENGTH_PREFIX_BYTES = 4;

    private final LongAdder controlBytes = new LongAdder();
    private final LongAdder requestBytes = new LongAdder();

    /** Counts a sent frame, with its length prefix. */
    void recordSent(Envelope envelope) {
        boolean carriesRequest = envelope.hasAttempt() || envelope.hasAnswer() || envelope.hasKeyedRequest();
        (carriesRequest ? requestBytes : controlBytes).add(envelope.getSerializedSize() + LENGTH_PREFIX_BYTES);
    }

    /** Returns the bytes of all other frames: probes, gossip, anti-entropy, health reports and heartbeats. */
    public long controlBytes() {
        return controlBytes.sum();
    }

    /** Returns the bytes of frames that carry callers' requests and answers. */
    public long requestBytes() {
        return requestBytes.sum();
    }
}
