package org.sardineshunt.engine.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.coordination.memory.MemoryBudget.Kind;
import org.sardineshunt.engine.AttemptStreams;
import org.sardineshunt.engine.BodyBytes;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.http.BodyPipe;
import org.sardineshunt.engine.http.StreamedBody;
import org.sardineshunt.engine.http.StreamedResponse;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.AnswerHead;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.BodyChunk;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.Header;

/** The attempts that arrived over one link and have no answer yet, with their streams. Confined to the control thread. */
final class IncomingAttempts {
    // Ids, headers and bookkeeping of an attempt, besides its body.
    private static final long BYTES_PER_ATTEMPT = 4_096;

    private static final Answer MEMORY_SHORT = failure(Verdict.NOT_RUN, false);
    private static final Answer ANSWER_LOST = failure(Verdict.MAY_HAVE_RUN, true);

    private final ControlEventLoop control;
    private final MemoryBudget memory;
    private final Predicate<Frame> send;
    private final Map<Long, Running> runningByCorrelation = new HashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param send sends a frame over the link; returns false if it is not sent because memory is short
     */
    IncomingAttempts(ControlEventLoop control, MemoryBudget memory, Predicate<Frame> send) {
        this.control = control;
        this.memory = memory;
        this.send = send;
    }

    /** Passes an attempt to a handler, which returns an action that cancels it, and answers it. */
    void run(long correlation, Attempt attempt, Handler handler) {
        MemoryBudget.Holder holder =
                memory.open(Kind.ATTEMPT, control.nowMillis(), () -> control.execute(() -> cancel(correlation)));
        if (!holder.tryReserve(
                control.nowMillis(), BYTES_PER_ATTEMPT + attempt.getBody().size())) {
            sendAnswer(correlation, MEMORY_SHORT);
            return;
        }
        holder.markReceived();
        Running running = new Running(correlation, holder, attempt);
        runningByCorrelation.put(correlation, running);
        Runnable cancellation =
                handler.run(attempt, running.streams(), answer -> control.execute(() -> reply(running, answer)));
        running.cancellation = cancellation;
    }

    void receiveChunk(long correlation, BodyChunk chunk) {
        Running running = runningByCorrelation.get(correlation);
        if (running != null && running.requestPipe.isPresent()) {
            BodyPipe pipe = running.requestPipe.get();
            pipe.write(BodyBytes.fromField(chunk.getData()));
            if (chunk.getLast()) {
                pipe.end();
            }
        }
    }

    void addCredit(long correlation, int bytes) {
        Running running = runningByCorrelation.get(correlation);
        if (running != null && running.responseSender != null) {
            running.responseSender.addCredit(bytes);
        }
    }

    void cancel(long correlation) {
        Optional.ofNullable(runningByCorrelation.remove(correlation)).ifPresent(Running::cancel);
    }

    /** Cancels all attempts, because their link was lost. */
    void cancelAll() {
        List<Running> abandoned = List.copyOf(runningByCorrelation.values());
        runningByCorrelation.clear();
        abandoned.forEach(Running::cancel);
    }

    private void reply(Running running, Answer answer) {
        running.requestPipe.ifPresent(pipe -> pipe.fail("the attempt has ended"));
        running.holder.close();
        if (running.responseSender != null && !running.responseSender.hasEnded()) {
            // The answer follows the body.
            running.heldAnswer = answer;
            return;
        }
        runningByCorrelation.remove(running.correlation, running);
        sendAnswer(running.correlation, running.responseLost ? ANSWER_LOST : answer);
    }

    private void sendAnswer(long correlation, Answer answer) {
        Frame.Builder frame = Frame.newBuilder().setCorrelation(correlation);
        if (!send.test(frame.setAnswer(answer).build())) {
            // Without its body, the answer says that the request has run but not how it ended.
            send.test(frame.setAnswer(ANSWER_LOST).build());
        }
    }

    private static Answer failure(Verdict verdict, boolean offered) {
        return Answer.newBuilder()
                .setVerdict(verdict.ordinal())
                .setReason(Reason.MEMORY_SHORT.label())
                .setOffered(offered)
                .build();
    }

    /** Runs attempts. */
    @FunctionalInterface
    interface Handler {
        /** Runs an attempt and returns an action that cancels it. */
        Runnable run(Attempt attempt, AttemptStreams streams, Consumer<Answer> onAnswer);
    }

    /** An attempt without an answer. */
    private final class Running {
        private final long correlation;
        private final MemoryBudget.Holder holder;
        private final Attempt attempt;
        private final Optional<BodyPipe> requestPipe;
        private Runnable cancellation = () -> {};
        private FrameBodySender responseSender;
        private BodyPipe responsePipe;
        private Answer heldAnswer;
        private boolean responseLost;

        private Running(long correlation, MemoryBudget.Holder holder, Attempt attempt) {
            this.correlation = correlation;
            this.holder = holder;
            this.attempt = attempt;
            CreditSource source = new CreditSource(correlation, send::test, control, () -> {});
            requestPipe = attempt.getBodyFollows() ? Optional.of(new BodyPipe(memory, source)) : Optional.empty();
        }

        private AttemptStreams streams() {
            return new AttemptStreams(
                    requestPipe.map(pipe -> new StreamedBody(pipe, attempt.getBodyLength() - 1)),
                    attempt.getAcceptsStreaming() ? Optional.of(this::startResponse) : Optional.empty());
        }

        private void startResponse(StreamedResponse response) {
            if (runningByCorrelation.get(correlation) != this) {
                response.body().pipe().cancel();
                return;
            }
            AnswerHead.Builder head = AnswerHead.newBuilder()
                    .setStatus(response.status())
                    .setBodyLength(response.body().length() + 1);
            response.headers()
                    .forEach(header -> head.addHeaders(
                            Header.newBuilder().setName(header.name()).setValue(header.value())));
            send.test(Frame.newBuilder()
                    .setCorrelation(correlation)
                    .setAnswerHead(head)
                    .build());
            responsePipe = response.body().pipe();
            responseSender =
                    new FrameBodySender(response.body().pipe(), correlation, send, control, this::handleResponseEnd);
            responseSender.start();
        }

        private void handleResponseEnd(FrameBodySender.End end) {
            responseLost = end != FrameBodySender.End.SENT;
            if (heldAnswer != null) {
                reply(this, heldAnswer);
            }
        }

        private void cancel() {
            holder.close();
            cancellation.run();
            requestPipe.ifPresent(pipe -> pipe.fail("the attempt was cancelled"));
            if (responseSender != null) {
                responseSender.stop();
                responsePipe.cancel();
            }
        }
    }
}
