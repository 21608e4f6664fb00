package org.sardineshunt.engine.caller;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;

/** The nodes of the fleet and calls to them. Confined to the control thread. */
public interface NodeCalls {
    /** Returns the nodes that aren't stopping, this one included. */
    Stream<KnownNode> nodes();

    /** Returns whether another node is in the directory and not known to be lost. */
    boolean isReachable(String nodeId);

    /**
     * Calls another node.
     *
     * @param onResult receives the answer, or empty if there is none in time, once
     */
    void call(String nodeId, Frame message, long timeoutMillis, Consumer<Optional<Answer>> onResult);
}
