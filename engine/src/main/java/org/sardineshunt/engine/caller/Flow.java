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
final class Flow {
    final HttpExchange exchange;
    final String requestId;
    final Route route;
    final long configurationVersion;
    final long beganMillis;
    final long fingerprint;
    final Set<String> tried = new HashSet<>();
    TimerService.Timer timer = () -> {};
    Runnable cancelAttempt = () -> {};
    Verdict verdictSoFar = Verdict.NOT_RUN;
    Reason lastReason = Reason.NO_UPSTREAM;
    Answer failedAnswer;
    String lastHome = "";
    String service;
    boolean fromRunningRequest;
    int rank;
    long deadlineMillis;
    int offered;
    int redirects;
    int attempts;
    boolean ended;

    Flow(
            HttpExchange exchange,
            String requestId,
            Route route,
            long configurationVersion,
            long beganMillis,
            long fingerprint) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.route = route;
        this.configurationVersion = configurationVersion;
        this.beganMillis = beganMillis;
        this.fingerprint = fingerprint;
    }
}
