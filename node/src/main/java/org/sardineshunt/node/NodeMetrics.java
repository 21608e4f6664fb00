package org.sardineshunt.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.kit.Metrics;

/** Counters and histograms of a node. Thread-safe. */
public final class NodeMetrics {
    private final Metrics metrics = new Metrics();
    private final Counter answers =
            metrics.counter("answers", "Answers to callers by rank, verdict and reason", "rank", "verdict", "reason");
    private final Counter retries =
            metrics.counter("retries", "Further attempts by the reason of the failed one", "reason");
    private final Counter refusals =
            metrics.counter("home_refusals", "Attempts refused by this home node", "service", "reason");
    private final Counter droppedAnswers = metrics.counter("dropped_answers", "Late, crossed or cut answers", "reason");
    private final Counter protocolViolations =
            metrics.counter("protocol_violations", "Peer links closed for a breach of the protocol", "kind");
    private final Counter ejections = metrics.counter("ejections", "Upstreams found unhealthy", "upstream");
    private final Counter pauses = metrics.counter("pauses", "Pauses of the process longer than its leases");
    private final Histogram requestSeconds =
            metrics.histogram("request_seconds", "Time from a caller's request to its answer", "rank");

    /** Returns the registry that these metrics belong to. */
    public Metrics registry() {
        return metrics;
    }

    /**
     * Counts an answer to a caller.
     *
     * @param rank rank of the request
     * @param verdict label of the verdict
     * @param seconds time from the request to its answer
     */
    public void recordAnswer(String rank, String verdict, Reason reason, double seconds) {
        answers.labelValues(rank, verdict, reason.label()).inc();
        requestSeconds.labelValues(rank).observe(seconds);
    }

    /** Counts a retry after an attempt that failed for this reason. */
    public void recordRetry(Reason reason) {
        retries.labelValues(reason.label()).inc();
    }

    /** Counts an attempt that this home node refused. */
    public void recordRefusal(String service, Reason reason) {
        refusals.labelValues(service, reason.label()).inc();
    }

    /** Counts an answer that was dropped instead of being sent to the caller. */
    public void recordDroppedAnswer(Reason reason) {
        droppedAnswers.labelValues(reason.label()).inc();
    }

    /** Counts a peer link that was closed for a protocol violation of this kind. */
    public void recordProtocolViolation(String kind) {
        protocolViolations.labelValues(kind).inc();
    }

    /** Counts an ejection of an upstream of this node as unhealthy. */
    public void recordEjection(String upstream) {
        ejections.labelValues(upstream).inc();
    }

    /** Counts a pause of the process. */
    public void recordPause() {
        pauses.inc();
    }
}
