package org.sardineshunt.engine.backendserver;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.idempotency.AttemptRegistry;
import org.sardineshunt.coordination.limit.AdmissionQueue;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.MetricRegistry;
import org.sardineshunt.engine.http.HttpOutcome;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;

/** Logs and counts what becomes of attempts at a home. Thread-safe. */
final class AttemptLog {
    private final EventLog log;
    private final MetricRegistry metrics;

    AttemptLog(EventLog log, MetricRegistry metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    void finished(PendingAttempt pending, HttpOutcome outcome, Answer answer, boolean success, long durationMillis) {
        metrics.count("home_answers", answer.getReason());
        metrics.observe("upstream_seconds", pending.attempt().getService(), durationMillis);
        if (!success) {
            log.event("attempt-failed")
                    .with("request", pending.attempt().getRequestId())
                    .with("attempt", pending.id().toString())
                    .with("upstream", pending.upstreamId())
                    .with("reason", answer.getReason())
                    .with("verdict", Verdict.values()[answer.getVerdict()].label())
                    .with("status", answer.getStatus())
                    .with("millis", durationMillis)
                    .with("detail", outcome instanceof HttpOutcome.Failed failed ? failed.detail() : "")
                    .write();
        }
    }

    void refused(
            PendingAttempt pending, Reason reason, String upstreamId, AdmissionQueue<?> queue, double serviceMillis) {
        metrics.count("home_refusals", reason.label());
        log.event("attempt-refused")
                .with("request", pending.attempt().getRequestId())
                .with("attempt", pending.id().toString())
                .with("upstream", upstreamId)
                .with("reason", reason.label())
                .with("account", pending.attempt().getAccount())
                .with("inFlight", queue.inFlight())
                .with("waiting", queue.queued())
                .with("serviceMillis", (long) serviceMillis)
                .with("leftMillis", pending.attempt().getLeftMillis())
                .write();
    }

    void repeated(Attempt attempt, AttemptRegistry.Arrival arrival, Reason reason) {
        metrics.count("home_refusals", reason.label());
        log.event("attempt-repeated")
                .with("request", attempt.getRequestId())
                .with("attempt", attempt.getAttemptId())
                .with("arrival", arrival.name())
                .write();
    }
}
