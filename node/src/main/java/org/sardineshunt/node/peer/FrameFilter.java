package org.sardineshunt.node.peer;

/** Decides whether frames are sent to another node. Tests use it to cut a link in one direction. */
@FunctionalInterface
public interface FrameFilter {
    /** Sends all frames. */
    FrameFilter PASS_ALL = remoteNodeId -> true;

    /** Returns whether a frame to a node is sent; other frames are dropped silently. May be called from any thread. */
    boolean passes(String remoteNodeId);
}
