package org.sardineshunt.engine.caller;

import java.util.Optional;

import io.vavr.control.Either;
import org.sardineshunt.coordination.account.RunningRequests.RunningRequest;
import org.sardineshunt.engine.AttemptStreams;
import org.sardineshunt.engine.peer.PeerFailure;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.Inquiry;

/** Calls homes, on this node or on others. Callbacks run on the control thread. */
public interface HomeClient {
    /** Returns a request that the local upstream is running; empty if it isn't running that request. */
    Optional<RunningRequest> runningRequest(String requestId);

    /** Takes one of the calls without a key that a running request may make; false if it may make no more. */
    boolean tryAcquireCall(String requestId);

    /**
     * Sends an attempt to a home.
     *
     * @param onResult called with the answer, or with the failure if there was none
     * @return action that cancels the attempt
     */
    Runnable attempt(
            String homeId,
            Attempt attempt,
            AttemptStreams streams,
            java.util.function.Consumer<Either<PeerFailure, Answer>> onResult);

    /** Returns whether a home understands streamed bodies. */
    boolean supportsStreaming(String homeId);

    /** Asks a home how an attempt ended; one that hasn't started there never will. */
    void inquire(String homeId, Inquiry inquiry, java.util.function.Consumer<Either<PeerFailure, Answer>> onResult);
}
