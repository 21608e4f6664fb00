package org.sardineshunt.engine;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class EngineLateMessageTest {
    private final EngineFleet fleet = new EngineFleet(1);

    @AfterEach
    void close() {
        fleet.close();
    }

    /** Guards against a second run (TWICE): a frozen entry asked after the home had forgotten that the booking ran. */
    @Test
    void aBookingThatRanIsNeverReportedAsNotRun() throws IOException {
        try (FakeEntry entry = new FakeEntry(fleet, "node-0")) {
            assertThat(verdict(entry.attempt("entry/1/1")), is(Verdict.RAN));

            awaitForgotten(entry, "entry/1/1");

            assertThat(verdict(entry.inquire("entry/1/1")), is(Verdict.MAY_HAVE_RUN));
        }
    }

    /** Guards against a second run (TWICE): a cut path delivered a booking after its abandonment was forgotten. */
    @Test
    void anAbandonedBookingNeverRunsHoweverLateItArrives() throws IOException {
        try (FakeEntry entry = new FakeEntry(fleet, "node-0")) {
            assertThat(verdict(entry.inquire("entry/1/1")), is(Verdict.NOT_RUN));
            entry.attempt("entry/1/2");
            awaitForgotten(entry, "entry/1/2");
            fleet.upstream(0).receivedRequests().clear();

            assertThat(verdict(entry.attempt("entry/1/1")), not(Verdict.RAN));

            assertThat(fleet.receivedRequestCount(), is(0));
        }
    }

    /** A home that has the attempt can't state that it doesn't run. */
    @Test
    void aSecondCopyOfABookingIsNotReportedAsNotRun() throws IOException {
        try (FakeEntry entry = new FakeEntry(fleet, "node-0")) {
            entry.attempt("entry/1/1");

            assertThat(verdict(entry.attempt("entry/1/1")), is(Verdict.MAY_HAVE_RUN));
            assertThat(fleet.receivedRequestCount(), is(1));
        }
    }

    @Test
    void refusesAnAttemptWhoseIdHasNoNumber() throws IOException {
        try (FakeEntry entry = new FakeEntry(fleet, "node-0")) {
            for (String id : List.of("", "entry", "entry/1/", "entry/x/1")) {
                assertThat(id, verdict(entry.attempt(id)), is(Verdict.NOT_RUN));
                assertThat(id, verdict(entry.inquire(id)), is(Verdict.MAY_HAVE_RUN));
            }
            assertThat(fleet.receivedRequestCount(), is(0));
        }
    }

    private static void awaitForgotten(FakeEntry entry, String attemptId) {
        Await.until("the answer of " + attemptId + " is no longer kept", () -> {
            try {
                return verdict(entry.inquire(attemptId)) != Verdict.RAN;
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        });
    }

    private static Verdict verdict(Answer answer) {
        return Verdict.ofOrdinal(answer.getVerdict()).orElseThrow();
    }
}
