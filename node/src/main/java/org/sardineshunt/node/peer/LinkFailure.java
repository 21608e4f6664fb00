package org.sardineshunt.node.peer;

import java.util.concurrent.CompletionException;

/** Signals that a call over a peer link got no reply. */
public final class LinkFailure extends Exception {
    private static final long serialVersionUID = 1L;

    private final Kind kind;
    private final long incarnation;

    LinkFailure(Kind kind, long incarnation, String message) {
        super(message);
        this.kind = kind;
        this.incarnation = incarnation;
    }

    /** Returns the link failure that caused a failed call; any other failure counts as a lost reply. */
    static LinkFailure of(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return cause instanceof LinkFailure known ? known : new LinkFailure(Kind.LOST, 0, String.valueOf(cause));
    }

    /** Returns the point at which the call failed. */
    public Kind kind() {
        return kind;
    }

    /** Returns the incarnation of the node that the call was sent to; 0 when nothing was sent. */
    public long incarnation() {
        return incarnation;
    }

    /** Point at which a call failed. */
    public enum Kind {
        /** Nothing was sent, so the other node did not see the call. */
        NOT_SENT,
        /** The link broke or was closed for silence after the call was sent. */
        LOST,
        /** The link works, but the reply did not arrive within the timeout. */
        TIMED_OUT
    }
}
