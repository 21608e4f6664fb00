package org.sardineshunt.engine.caller;

import java.util.List;

import org.sardineshunt.coordination.route.Route;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpRequestData;

/** Routes and requests that the tests of this package share. */
final class EntryFixtures {
    static final long FINGERPRINT = 77;
    static final long TIMEOUT_MILLIS = 1_000;

    private EntryFixtures() {}

    static Route route(boolean idempotent, int maximumAttempts) {
        return new Route(
                "search",
                "shop",
                "/search/",
                idempotent,
                maximumAttempts,
                TIMEOUT_MILLIS,
                100,
                3,
                List.of(new Route.Share("finder", 1)),
                false);
    }

    /** Returns a request that was accepted at 0 and whose deadline is the timeout of the route. */
    static AdmittedRequest admitted(Route route) {
        return new AdmittedRequest(
                new FakeExchange(request("/search/a", List.of()), 0),
                "request-1",
                route,
                "finder",
                1,
                RequestAccount.NONE,
                route.rank(),
                false,
                FINGERPRINT,
                0,
                TIMEOUT_MILLIS);
    }

    static HttpRequestData request(String target, List<HttpHeader> headers) {
        return new HttpRequestData("GET", target, headers, new byte[0]);
    }
}
