package org.sardineshunt.engine;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.engine.http.HttpOutcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EnginePauseTest {
    private static final long ROUTE_TIMEOUT_MILLIS = 400;
    private static final long PAUSE_MILLIS = 2_000;

    private final EngineFleet fleet = new EngineFleet(1);

    @AfterEach
    void close() {
        fleet.close();
    }

    /**
     * Guards against dropping an answer that waits in the socket when the process goes on after a pause: the timer of the
     * deadline came first, and the caller got 504 for a booking that had run.
     */
    @Test
    void deliversAnAnswerThatArrivedDuringAPause() {
        Engine engine = fleet.engine(0);
        engine.configure(EngineFleet.configuration(2, ROUTE_TIMEOUT_MILLIS));
        Await.until(
                "the shorter timeout is in force",
                () -> engine.configuration().orElseThrow().version() == 2);
        FakeUpstream upstream = fleet.upstream(0);
        upstream.setHandler(exchange -> {});
        EngineFleet.SentRequest sent = fleet.send(0, "POST", EngineFleet.BOOKING_PATH, 4_000);
        Await.until("the booking arrived", () -> fleet.receivedRequestCount() == 1);

        CountDownLatch controlGoesOn = new CountDownLatch(1);
        CountDownLatch trafficGoesOn = new CountDownLatch(1);
        long pausedNanos = System.nanoTime();
        engine.trafficGroup().next().execute(() -> await(trafficGoesOn));
        engine.control().execute(() -> {
            await(controlGoesOn);
            // Runs after the timer of the deadline, which has been due for longer.
            engine.control().after(0, trafficGoesOn::countDown);
        });
        upstream.succeed(upstream.receivedRequests().get(0));
        Await.until(
                "the deadline has passed",
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - pausedNanos) > PAUSE_MILLIS);
        controlGoesOn.countDown();

        assertThat(((HttpOutcome.Responded) sent.outcome().join()).response().status(), is(200));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
