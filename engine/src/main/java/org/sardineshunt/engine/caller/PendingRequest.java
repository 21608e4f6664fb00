package org.sardineshunt.engine.caller;

import java.util.HashSet;
import java.util.Set;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.route.Route;
import org.sardineshunt.engine.http.HttpExchange;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;

/** One request of a caller on its way. Belongs to the control thread. */
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
    Verdict verdictSoFar = Verdict.NOT_RUN;
    Reason lastReason = Reason.NO_UPSTREAM;
    Answer errorAnswer;
    String lastHomeId = "";
    String service;
    boolean fromRunningRequest;
    int rank;
    long deadlineMillis;
    int offeredAttempts;
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
