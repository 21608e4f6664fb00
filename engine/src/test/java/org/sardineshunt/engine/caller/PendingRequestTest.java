package org.sardineshunt.engine.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class PendingRequestTest {
    private static final PendingRequest.SentAttempt FIRST = new PendingRequest.SentAttempt("attempt-1", "home-1");
    private static final PendingRequest.SentAttempt SECOND = new PendingRequest.SentAttempt("attempt-2", "home-2");
    private static final PendingRequest.Failure REFUSED =
            new PendingRequest.Failure(Verdict.NOT_RUN, Reason.QUEUE_FULL, false);
    private static final PendingRequest.Failure SHED =
            new PendingRequest.Failure(Verdict.NOT_RUN, Reason.BACKEND_SERVER_SHED, true);
    private static final PendingRequest.Failure LOST =
            new PendingRequest.Failure(Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, true);

    private final PendingRequest pending = new PendingRequest(EntryFixtures.admitted(EntryFixtures.route(true, 3)));
    private final List<String> cancelled = new ArrayList<>();

    /** A request that no home could take must be reported as not run, with the reason that has a Retry-After. */
    @Test
    void startsWithoutAttemptsAsNotRunForLackOfAnUpstream() {
        assertThat(pending.attemptsInFlight(), is(List.of()));
        assertThat(pending.triedHomes(), is(Set.of()));
        assertThat(pending.lastHomeId(), is(""));
        assertThat(pending.verdictSoFar(), is(Verdict.NOT_RUN));
        assertThat(pending.lastReason(), is(Reason.NO_UPSTREAM));
        assertThat(pending.errorAnswer(), is(Optional.empty()));
        assertThat(pending.hasEnded(), is(false));
    }

    /** Guards against a second attempt that replaces the first one, which would then run on unseen. */
    @Test
    void keepsAttemptsInFlightSideBySide() {
        start(FIRST);
        start(SECOND);

        assertThat(pending.attemptsInFlight(), is(List.of("attempt-1", "attempt-2")));
        assertThat(pending.triedHomes(), is(Set.of("home-1", "home-2")));
        assertThat(pending.lastHomeId(), is("home-2"));
        assertThat(pending.sentAttempts(), is(2));
    }

    /** A home that refused an attempt must stay known as tried, or the next attempt would be sent there again. */
    @Test
    void keepsTheHomeOfAFailedAttemptAsTried() {
        start(FIRST);

        pending.failAttempt(FIRST, REFUSED);

        assertThat(pending.attemptsInFlight(), is(List.of()));
        assertThat(pending.triedHomes(), is(Set.of("home-1")));
        assertThat(pending.lastReason(), is(Reason.QUEUE_FULL));
    }

    /** Refusals by homes must not use up the attempts of the route, which only limit what upstreams receive. */
    @Test
    void countsOnlyOfferedAttemptsAsOffered() {
        start(FIRST);
        pending.failAttempt(FIRST, REFUSED);
        start(SECOND);
        pending.failAttempt(SECOND, SHED);

        assertThat(pending.failedAttempts(), is(2));
        assertThat(pending.offeredAttempts(), is(1));
        assertThat(pending.verdictSoFar(), is(Verdict.NOT_RUN));
    }

    /** Guards against a promise that a request has not run, after an earlier attempt of it may have run. */
    @Test
    void staysMayHaveRunAfterALaterAttemptThatHasNotRun() {
        start(FIRST);
        pending.failAttempt(FIRST, LOST);
        start(SECOND);
        pending.failAttempt(SECOND, REFUSED);

        assertThat(pending.verdictSoFar(), is(Verdict.MAY_HAVE_RUN));
        assertThat(pending.lastReason(), is(Reason.QUEUE_FULL));
    }

    /** A failed upstream that answered must not be reported as not run if its answer is discarded. */
    @Test
    void isMayHaveRunAfterAServerError() {
        start(FIRST);

        pending.failAttempt(FIRST, new PendingRequest.Failure(Verdict.RAN, Reason.SERVER_ERROR, true));

        assertThat(pending.verdictSoFar(), is(Verdict.MAY_HAVE_RUN));
    }

    /** Guards against attempts that go on running after the caller has disconnected. */
    @Test
    void cancelsEachAttemptInFlightAndNoOther() {
        PendingRequest.SentAttempt third = new PendingRequest.SentAttempt("attempt-3", "home-3");
        PendingRequest.SentAttempt fourth = new PendingRequest.SentAttempt("attempt-4", "home-4");
        List.of(FIRST, SECOND, third, fourth).forEach(this::start);
        pending.failAttempt(FIRST, REFUSED);
        pending.completeAttempt(third);

        pending.cancelAttempts();

        assertThat(cancelled, is(List.of("attempt-2", "attempt-4")));
    }

    /** A home may refuse an attempt before the call that sends it returns the action that cancels it. */
    @Test
    void ignoresTheCancellationOfAnAttemptThatFailedAlready() {
        pending.startAttempt(FIRST);
        pending.failAttempt(FIRST, REFUSED);
        start(SECOND);

        pending.setCancellation(FIRST, () -> cancelled.add("attempt-1"));
        pending.cancelAttempts();

        assertThat(pending.attemptsInFlight(), is(List.of("attempt-2")));
        assertThat(cancelled, is(List.of("attempt-2")));
    }

    /** A cancellation that reports the failure at once must not disturb the cancellation of the others. */
    @Test
    void cancelsAllAttemptsAlthoughACancellationEndsItsAttempt() {
        pending.startAttempt(FIRST);
        pending.setCancellation(FIRST, () -> {
            cancelled.add("attempt-1");
            pending.failAttempt(FIRST, REFUSED);
        });
        start(SECOND);

        pending.cancelAttempts();

        assertThat(cancelled, is(List.of("attempt-1", "attempt-2")));
        assertThat(pending.attemptsInFlight(), is(List.of("attempt-2")));
    }

    @Test
    void keepsTheLastErrorAnswer() {
        pending.recordErrorAnswer(Answer.newBuilder().setStatus(500).build());
        pending.recordErrorAnswer(Answer.newBuilder().setStatus(502).build());

        assertThat(pending.errorAnswer().map(Answer::getStatus), is(Optional.of(502)));
    }

    /** Guards against a deadline timer that fires after the response. */
    @Test
    void endCancelsTheTimerThatWasSetLast() {
        List<String> cancelledTimers = new ArrayList<>();
        pending.setDeadlineTimer(() -> cancelledTimers.add("deadline"));
        pending.setDeadlineTimer(() -> cancelledTimers.add("after pause"));

        pending.end();

        assertThat(pending.hasEnded(), is(true));
        assertThat(cancelledTimers, is(List.of("after pause")));
    }

    private void start(PendingRequest.SentAttempt attempt) {
        pending.startAttempt(attempt);
        pending.setCancellation(attempt, () -> cancelled.add(attempt.attemptId()));
    }
}
