package org.sardineshunt.engine.peer;

/**
 * Why a call to a peer has no reply. Immutable and thread-safe.
 *
 * @param sent whether the call may have reached the peer
 * @param incarnation incarnation of the peer that the call was sent to; 0 when nothing was sent
 * @param detail text for the log
 */
public record PeerFailure(boolean sent, long incarnation, String detail) {}
