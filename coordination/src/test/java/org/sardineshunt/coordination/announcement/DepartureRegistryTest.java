package org.sardineshunt.coordination.announcement;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.announcement.Announcement.Phase;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class DepartureRegistryTest {
    private final DepartureRegistry registry = new DepartureRegistry();

    @Test
    void keepsADepartureUntilTheTableHasIt() {
        registry.record("node", announcement("a", 1, Phase.LEFT));

        registry.recordStored("node", announcement("a", 1, Phase.READY));
        registry.recordStored("node", announcement("a", 1, Phase.DRAINING));
        assertThat(registry.find("node"), is(Optional.of(announcement("a", 1, Phase.LEFT))));

        registry.recordStored("node", announcement("a", 1, Phase.LEFT));
        assertThat(registry.find("node"), is(Optional.empty()));
    }

    @Test
    void removesTheDepartureOfAnEarlierStart() {
        registry.record("node", announcement("a", 1, Phase.LEFT));

        registry.recordStored("node", announcement("b", 2, Phase.READY));

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
