package org.sardineshunt.engine.peer;

import java.util.function.Consumer;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.engine.AttemptStreams;
import org.sardineshunt.engine.BodyBytes;
import org.sardineshunt.engine.http.BodyPipe;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.StreamedBody;
import org.sardineshunt.engine.http.StreamedResponse;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.AnswerHead;
import org.sardineshunt.engine.protocol.EngineMessages.BodyChunk;

/** A call that a peer has not answered yet, with its streams. Confined to the control thread. */
final class PendingCall {
    private final AttemptStreams streams;
    private final Consumer<Either<PeerFailure, Answer>> onResult;
    private FrameBodySender requestSender;
    private BodyPipe responsePipe;
    private boolean sent;

    PendingCall(AttemptStreams streams, Consumer<Either<PeerFailure, Answer>> onResult, boolean sent) {
        this.streams = streams;
        this.onResult = onResult;
        this.sent = sent;
    }

    void markSent() {
        sent = true;
    }

    /** Starts to send a streamed body once the peer gives credit. */
    void startBody(FrameBodySender sender) {
        requestSender = sender;
        sender.start();
    }

    void addCredit(int bytes) {
        if (requestSender != null) {
            requestSender.addCredit(bytes);
        }
    }

    /**
     * Passes on the head of a streamed response.
     *
     * @param pipe pipe for its body, which the link fills
     */
    void startResponse(AnswerHead head, BodyPipe pipe) {
        if (responsePipe != null || streams.onResponse().isEmpty()) {
            return;
        }
        responsePipe = pipe;
        streams.onResponse()
                .get()
                .accept(new StreamedResponse(
                        head.getStatus(),
                        head.getHeadersList().stream()
                                .map(header -> new HttpHeader(header.getName(), header.getValue()))
                                .toList(),
                        new StreamedBody(pipe, head.getBodyLength() - 1)));
    }

    void receiveChunk(BodyChunk chunk) {
        if (responsePipe != null) {
            responsePipe.write(BodyBytes.fromField(chunk.getData()));
        }
    }

    /** Ends the call with the peer's answer. */
    void complete(Answer answer) {
        stopBody();
        boolean responded = answer.getVerdict() == Verdict.RAN.ordinal() && answer.getStreamed();
        if (responsePipe != null && responded) {
            responsePipe.end();
        } else if (responsePipe != null) {
            responsePipe.fail("the home could not complete the response: " + answer.getReason());
        }
        onResult.accept(Either.right(answer));
    }

    /** Ends the call without an answer. */
    void fail(long incarnation, String cause) {
        abandon(cause);
        onResult.accept(Either.left(new PeerFailure(sent, incarnation, cause)));
    }

    /** Ends a call that was never sent. */
    void failUnsent(long incarnation, String cause) {
        sent = false;
        fail(incarnation, cause);
    }

    /** Ends the call because its body could not be sent to the end. */
    void failBody(FrameBodySender.End end) {
        Reason reason = end == FrameBodySender.End.MEMORY_SHORT ? Reason.MEMORY_SHORT : Reason.ABANDONED;
        complete(Answer.newBuilder()
                .setVerdict(Verdict.MAY_HAVE_RUN.ordinal())
                .setReason(reason.label())
                .setOffered(true)
                .build());
    }

    /** Ends the streams of a call whose result nobody awaits. */
    void abandon(String cause) {
        stopBody();
        if (responsePipe != null) {
            responsePipe.fail(cause);
        }
    }

    private void stopBody() {
        if (requestSender != null) {
            requestSender.stop();
        }
    }
}
