package org.sardineshunt.engine.peer;

/**
 * The failure of a call to a peer that got no reply. Immutable and thread-safe.
 *
 * @param sent whether the call was sent, so that the peer may have received it
 * @param incarnation incarnation of the peer, from its hello; 0 if no hello was received
 * @param detail description for the log
 */
public record PeerFailure(boolean sent, long incarnation, String detail) {}
