package org.sardineshunt.load;

import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Drops the frames that a home sends to an entry: requests reach the home, but its replies are lost. */
class LostLinkTest {
    private LocalFleet fleet;

    @BeforeEach
    void startFleet() {
        fleet = SmallFleet.start(3);
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    @Test
    void everyLookupIsAnsweredWhileRepliesOfOneNodeAreLost() {
        fleet.partition("dc-2-n1", "dc-1-n1");

        IntStream.range(0, 30).forEach(number -> {
            SmallFleet.Reply reply =
                    SmallFleet.send(fleet, "dc-1-n1", "GET", "/seats/" + number, Map.of("X-Work-Id", "w" + number));
            assertThat(reply.verdict(), not(is("")));
        });
    }

    @Test
    void bookingWhoseReplyIsLostIsNotRunTwice() {
        fleet.partition("dc-2-n1", "dc-1-n1");

        IntStream.range(0, 12).forEach(number -> {
            String workId = "b" + number;
            SmallFleet.Reply reply = SmallFleet.send(
                    fleet, "dc-1-n1", "POST", "/seats/x", Map.of("X-Work-Id", workId, "Idempotency-Key", workId));
            int runs = fleet.runsByWorkId().getOrDefault(workId, 0);
            assertThat("runs of " + workId, runs <= 1, is(true));
            assertThat("false not-run of " + workId, reply.verdict().equals("not-run") && runs > 0, is(false));
        });
    }
}
