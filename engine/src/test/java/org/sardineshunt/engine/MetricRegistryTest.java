package org.sardineshunt.engine;

import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class MetricRegistryTest {
    private final MetricRegistry metrics = new MetricRegistry();

    /** A label for each account would make the metrics grow with the configuration. */
    @Test
    void showsTheTwentyBusiestAccountsAndTheSumOfTheRest() {
        IntStream.rangeClosed(1, 74).forEach(account -> IntStream.range(0, account)
                .forEach(request -> metrics.countForAccount("account_requests", "account-" + account)));
        Map<MetricRegistry.Key, Long> counts = metrics.counts();
        assertThat(counts.size(), is(21));
        assertThat(counts.get(new MetricRegistry.Key("account_requests", "account-55")), is(55L));
        assertThat(counts.get(new MetricRegistry.Key("account_requests", "other")), is(54L * 55 / 2));
    }
}
