package org.sardineshunt.engine.caller;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.coordination.route.Route;
import org.sardineshunt.engine.RequestHeaders;
import org.sardineshunt.engine.http.HttpRequestData;
import org.sardineshunt.engine.http.RequestRules;

/** Judges callers' requests by the configuration in force. Thread-safe. */
public final class CallerRules implements RequestRules {
    private static final int MAXIMUM_TIME_DIGITS = 9;

    private final RequestHeaders headers;
    private final Supplier<Optional<FleetConfiguration>> configuration;

    /** Creates rules that follow the supplied configuration. */
    public CallerRules(RequestHeaders headers, Supplier<Optional<FleetConfiguration>> configuration) {
        this.headers = headers;
        this.configuration = configuration;
    }

    @Override
    public boolean mayOverlap(HttpRequestData request) {
        return route(request).map(Route::idempotent).orElse(false);
    }

    @Override
    public long bodyTimeoutMillis(HttpRequestData head) {
        return timeLeftMillis(headers, head)
                .orElseGet(() -> route(head).map(Route::timeoutMillis).orElse(DEFAULT_BODY_TIMEOUT_MILLIS));
    }

    /** Returns the time that the caller waits, from its header; empty if that is missing or malformed. */
    static OptionalLong timeLeftMillis(RequestHeaders headers, HttpRequestData request) {
        return request.header(headers.timeLeft())
                .filter(value -> !value.isEmpty() && value.length() <= MAXIMUM_TIME_DIGITS)
                .filter(value -> value.chars().allMatch(Character::isDigit))
                .map(value -> OptionalLong.of(Long.parseLong(value)))
                .orElse(OptionalLong.empty());
    }

    private Optional<Route> route(HttpRequestData request) {
        return configuration
                .get()
                .flatMap(current -> current.match(request.header("host").orElse(""), request.path()));
    }
}
