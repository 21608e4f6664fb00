package org.sardineshunt.engine.caller;

import java.util.HashSet;
import java.util.Set;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.route.Route;
import org.sardineshunt.engine.http.HttpExchange;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;

/** A caller's request that has no response yet. Confined to the control thread. */
final class PendingRequest {
    final HttpExchange exchange;
    final String requestId;
    final Route route;
    final long configurationVersion;
    final long startedMillis;
    final long fingerprint;
    final Set<String> triedHomes = new HashSet<>();
    TimerService.Timer deadlineTimer = () -> {};
    Runnable cancelAttempt = () -> {};

    // MAY_HAVE_RUN once any attempt may have run.
    Verdict verdictSoFar = Verdict.NOT_RUN;
    Reason lastReason = Reason.NO_UPSTREAM;

    // Last answer of an upstream with a server error; null if there is none.
    Answer errorAnswer;

    // Node ID of the home of the last attempt; empty before the first one.
    String lastHomeId = "";
    String service;
    boolean fromRunningRequest;
    int rank;
    long deadlineMillis;

    // Failed attempts that were offered to an upstream, which count against the route's maximum.
    int offeredAttempts;

    // All failed attempts, including those that homes refused.
    int failedAttempts;
    int sentAttempts;
    boolean ended;

    PendingRequest(
            HttpExchange exchange,
            String requestId,
            Route route,
            long configurationVersion,
            long startedMillis,
            long fingerprint) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.route = route;
        this.configurationVersion = configurationVersion;
        this.startedMillis = startedMillis;
        this.fingerprint = fingerprint;
    }
}
