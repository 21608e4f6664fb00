package org.sardineshunt.engine.caller;

import org.sardineshunt.coordination.route.Route;
import org.sardineshunt.engine.http.HttpExchange;

/**
 * A caller's request that the entry has accepted. Times are those of the control thread's clock.
 *
 * @param exchange the request and the means to respond to it
 * @param requestId ID of the caller's request; empty if it has none
 * @param route route that the request matches
 * @param service service chosen among those of the route
 * @param configurationVersion version of the configuration that the route belongs to
 * @param account client account that it is served for
 * @param rank order of urgency, 0 is the most urgent
 * @param fromRunningRequest whether a request that the local upstream is running makes this one
 * @param fingerprint hash that names a request which crashes upstreams
 * @param startedMillis time of the acceptance
 * @param deadlineMillis time by which the response must be sent
 */
record AdmittedRequest(
        HttpExchange exchange,
        String requestId,
        Route route,
        String service,
        long configurationVersion,
        RequestAccount account,
        int rank,
        boolean fromRunningRequest,
        long fingerprint,
        long startedMillis,
        long deadlineMillis) {}
