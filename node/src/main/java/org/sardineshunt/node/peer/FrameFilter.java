package org.sardineshunt.node.peer;

/** Decides whether frames leave towards another node. Tests cut links in one direction with it. */
@FunctionalInterface
public interface FrameFilter {
    /** Lets all frames pass. */
    FrameFilter PASS_ALL = remoteNodeId -> true;

    /** Returns whether a frame to a node is sent; a frame that isn't sent is lost silently. */
    boolean passes(String remoteNodeId);
}
