package org.sardineshunt.node.peer;

/** A call over a peer link that got no reply. */
public final class LinkFailure extends Exception {
    private static final long serialVersionUID = 1L;

    private final Kind kind;
    private final long incarnation;

    LinkFailure(Kind kind, long incarnation, String message) {
        super(message);
        this.kind = kind;
        this.incarnation = incarnation;
    }

    /** Returns how far the call came. */
    public Kind kind() {
        return kind;
    }

    /** Returns the incarnation of the node that the call was sent to; 0 when nothing was sent. */
    public long incarnation() {
        return incarnation;
    }

    /** How far a call came. */
    public enum Kind {
        /** Nothing was sent. */
        NOT_SENT,
        /** The link broke or went silent after the call was sent. */
        LOST,
        /** The link works, but the reply did not come in time. */
        TIMED_OUT
    }
}
