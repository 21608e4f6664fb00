package org.sardineshunt.coordination.route;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;
import org.sardineshunt.coordination.route.FleetConfiguration.Service;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FleetConfigurationTest {
    @Test
    void matchesTheLongestPrefixOfTheHost() {
        FleetConfiguration configuration = configuration(
                route("short", "h.example", "/a/", "s"),
                route("long", "h.example", "/a/b/", "s"),
                route("other", "i.example", "/a/b/c/", "s"));
        assertThat(matchedRouteName(configuration, "h.example", "/a/b/c/d"), is(Optional.of("long")));
        assertThat(matchedRouteName(configuration, "H.Example:8080", "/a/x"), is(Optional.of("short")));
    }

    @Test
    void matchesNothingOutsideAPrefix() {
        FleetConfiguration configuration = configuration(route("r", "h.example", "/a/", "s"));
        assertThat(matchedRouteName(configuration, "h.example", "/a"), is(Optional.empty()));
        assertThat(matchedRouteName(configuration, "x.example", "/a/"), is(Optional.empty()));
    }

    @Test
    void refusesARouteToAnUnknownService() {
        IllegalArgumentException exception =
                assertThrows(IllegalArgumentException.class, () -> configuration(route("r", "h", "/", "missing")));
        assertThat(exception.getMessage(), containsString("route 'r' names the unknown service 'missing'"));
    }

    @Test
    void sharesRequestsInProportionToTheWeights() {
        Route route = new Route(
                "r", "h", "/", true, 1, 1_000, 0, 0, List.of(new Route.Share("s", 9), new Route.Share("t", 1)), false);
        long toFirst = IntStream.range(0, 1_000)
                .filter(index -> route.selectService(index / 1_000.0).equals("s"))
                .count();
        assertThat((double) toFirst, closeTo(900, 1));
    }

    private static Optional<String> matchedRouteName(FleetConfiguration configuration, String host, String path) {
        return configuration.match(host, path).map(Route::name);
    }

    private static Route route(String name, String host, String prefix, String service) {
        return new Route(name, host, prefix, true, 2, 1_000, 500, 1, List.of(new Route.Share(service, 1)), false);
    }

    private static FleetConfiguration configuration(Route... routes) {
        return new FleetConfiguration(
                1, List.of(routes), List.of(new Service("s", "", 10), new Service("t", "", 10)), CallerLimits.DEFAULT);
    }
}
