package org.sardineshunt.engine.peer;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.engine.ManualTimerService;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.Hello;
import org.sardineshunt.engine.protocol.EngineMessages.Pong;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class PeerLinkTest {
    private static final Frame PONG =
            Frame.newBuilder().setPong(Pong.getDefaultInstance()).build();

    private final ManualTimerService timers = new ManualTimerService();
    private final List<String> closures = new ArrayList<>();
    private final List<Either<PeerFailure, Answer>> results = new ArrayList<>();
    private final PeerLink link = new PeerLink(
            new PeerAddress("home", "127.0.0.1", 1),
            Hello.getDefaultInstance(),
            timers,
            MemoryBudget.unlimited(),
            new PeerLink.Listener() {
                @Override
                public void helloReceived(PeerLink source, String nodeId) {}

                @Override
                public void closed(PeerLink source, String cause) {
                    closures.add(cause);
                }
            });

    @Test
    void closesASilentLink() {
        call();

        timers.advance(1_300);

        assertThat(closures, hasSize(1));
        assertThat(results.get(0).isLeft(), is(true));
    }

    @Test
    void keepsALinkThatAnswersPings() {
        call();

        for (int round = 0; round < 20; round++) {
            timers.advance(300);
            link.received(null, PONG);
        }

        assertThat(closures, empty());
    }

    /** Guards against dropping answers that wait in the socket (TWICE): the timer of a frozen entry came first. */
    @Test
    void readsWaitingAnswersAfterAPauseBeforeItJudgesTheSilence() {
        call();
        timers.advance(400);

        timers.pause(6_400);
        link.received(
                null,
                Frame.newBuilder()
                        .setCorrelation(1)
                        .setAnswer(Answer.newBuilder()
                                .setVerdict(Verdict.RAN.ordinal())
                                .setStatus(200))
                        .build());

        assertThat(closures, empty());
        assertThat(results.get(0).get().getStatus(), is(200));
    }

    @Test
    void closesALinkThatStaysSilentAfterAPause() {
        call();
        timers.advance(400);

        timers.pause(6_400);
        timers.advance(1_300);

        assertThat(closures, hasSize(1));
    }

    /** A machine so slow that each check is late must still notice that the peer is gone. */
    @Test
    void closesASilentLinkThoughAllChecksAreLate() {
        call();

        for (int round = 0; round < 5; round++) {
            timers.pause(1_000);
        }

        assertThat(closures, hasSize(1));
    }

    private void call() {
        link.call(Frame.newBuilder().setAttempt(Attempt.getDefaultInstance()), results::add);
    }
}
