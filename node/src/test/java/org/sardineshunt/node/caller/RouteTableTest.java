package org.sardineshunt.node.caller;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineshunt.kit.TimeSpan;
import org.sardineshunt.node.NodeSettings.RouteSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RouteTableTest {
    private final RouteTable table = new RouteTable(List.of(
            route("GET", "/seats/status", "first"),
            route("GET", "/seats", "second"),
            route("*", "/seats", "third"),
            route("*", "/pupils/", "fourth")));

    @Test
    void firstMatchingRouteApplies() {
        assertThat(matchedService("GET", "/seats/status/7"), is("first"));
        assertThat(matchedService("GET", "/seats/7"), is("second"));
        assertThat(matchedService("POST", "/seats/7"), is("third"));
    }

    @Test
    void routeMatchesWholeSegmentsOnly() {
        assertThat(matchedService("GET", "/seatsold"), is("none"));
        assertThat(matchedService("GET", "/seats"), is("second"));
    }

    @Test
    void routePathWithTrailingSlashMatchesOnlyLongerPaths() {
        assertThat(matchedService("GET", "/pupils/7"), is("fourth"));
        assertThat(matchedService("GET", "/pupils"), is("none"));
    }

    private String matchedService(String method, String path) {
        return table.find(method, path).map(RouteSettings::service).getOrElse("none");
    }

    private static RouteSettings route(String method, String path, String service) {
        return new RouteSettings(method, path, service, "rank", true, false, new TimeSpan(1_000));
    }
}
