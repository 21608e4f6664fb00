package org.sardineshunt.coordination.announcement;

import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.announcement.Announcement.Phase;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class DepartureRegistryTest {
    private final DepartureRegistry registry = new DepartureRegistry();

    /** Guards against forgetting a departure that a table which goes back to an older copy has shown (DRAIN). */
    @Test
    void keepsADepartureWhateverStateOfThatStartTheTableShows() {
        registry.record("node", announcement("a", 1, Phase.LEFT));

        Stream.of(Phase.READY, Phase.DRAINING, Phase.LEFT, Phase.READY)
                .forEach(phase -> registry.record("node", announcement("a", 1, phase)));
        assertThat(registry.find("node"), is(Optional.of(announcement("a", 1, Phase.LEFT))));
    }

    /** The row of a later start may be lost, and the row of the start that has left may be back. */
    @Test
    void keepsADepartureUntilALaterStartDeparts() {
        registry.record("node", announcement("a", 1, Phase.LEFT));

        registry.record("node", announcement("b", 2, Phase.READY));
        assertThat(registry.find("node"), is(Optional.of(announcement("a", 1, Phase.LEFT))));

        registry.record("node", announcement("b", 2, Phase.DRAINING));
        assertThat(registry.find("node"), is(Optional.of(announcement("b", 2, Phase.DRAINING))));
    }

    @Test
    void recordsNoUpstreamThatAcceptsWork() {
        registry.record("node", announcement("a", 1, Phase.READY));

        assertThat(registry.find("node"), is(Optional.empty()));
    }

    @Test
    void keepsTheLatestStateInWhateverOrderCopiesArrive() {
        registry.record("node", announcement("b", 2, Phase.LEFT));
        registry.record("node", announcement("b", 2, Phase.DRAINING));
        registry.record("node", announcement("a", 1, Phase.LEFT));

        assertThat(registry.find("node"), is(Optional.of(announcement("b", 2, Phase.LEFT))));
    }

    private static Announcement announcement(String id, long startedEpochMillis, Phase phase) {
        return new Announcement(id, startedEpochMillis, 1, "service", 4, phase, 0);
    }
}
