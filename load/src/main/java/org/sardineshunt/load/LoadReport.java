package org.sardineshunt.load;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;
import org.sardineshunt.load.LoadPlan.Arrival;
import org.sardineshunt.load.RequestResult.Check;

/**
 * Figures of a run. Immutable.
 *
 * @param kinds figures of each kind in each phase
 * @param safety counts of violated guarantees; all must be 0
 */
record LoadReport(List<KindFigures> kinds, Safety safety) {
    // Longer latencies are recorded as this one.
    private static final long MAXIMUM_LATENCY_MICROS = 120_000_000;

    /**
     * Computes the report of a run.
     *
     * @param runsByWorkId how often all backend servers together ran each work id; empty when not known
     */
    static LoadReport of(List<RequestResult> results, Map<String, Integer> runsByWorkId) {
        Map<String, List<RequestResult>> groups = results.stream()
                .collect(Collectors.groupingBy(
                        result -> result.arrival().phase()
                                + '\n'
                                + result.arrival().kind().name(),
                        TreeMap::new,
                        Collectors.toList()));
        List<KindFigures> allFigures = groups.values().stream()
                .map(KindFigures::of)
                .sorted(Comparator.comparing(KindFigures::phase).thenComparing(KindFigures::kind))
                .toList();
        return new LoadReport(allFigures, Safety.of(results, runsByWorkId));
    }

    /** Returns the figures as a text table. */
    String table() {
        StringBuilder text = new StringBuilder(String.format(
                "%-12s %-12s %7s %8s %8s %6s %8s %8s %8s %9s%n",
                "PHASE", "KIND", "SENT", "IN TIME", "REFUSED", "LATE", "P50 MS", "P99 MS", "P99.9 MS", "WORTH"));
        kinds.forEach(figures -> text.append(String.format(
                "%-12s %-12s %7d %7.2f%% %7.2f%% %6d %8.1f %8.1f %8.1f %8.1f%%%n",
                figures.phase(),
                figures.kind(),
                figures.sent(),
                100.0 * figures.inTime() / figures.sent(),
                100.0 * figures.refused() / figures.sent(),
                figures.late(),
                figures.medianMillis(),
                figures.p99Millis(),
                figures.p999Millis(),
                100.0 * figures.inTime() / figures.sent())));
        kinds.stream()
                .filter(figures -> !figures.reasons().isEmpty())
                .forEach(figures -> text.append(figures.phase() + ' ' + figures.kind() + " not served: "
                        + figures.reasons() + System.lineSeparator()));
        return text + safety.summary();
    }

    /**
     * Figures of one kind in one phase.
     *
     * @param phase name of the phase
     * @param kind name of the kind
     * @param sent number of requests
     * @param inTime number of requests served within their target
     * @param refused number of requests that ended as not run
     * @param unresolved number of requests that ended as may have run
     * @param late number of requests served after their target
     * @param sends number of sends of all requests, repeats included
     * @param medianMillis median latency of served requests
     * @param p99Millis 99th percentile of their latency
     * @param p999Millis 99.9th percentile of their latency
     * @param worthKept total worth of the requests served in time
     * @param worthSent total worth of all requests
     * @param reasons number of requests that were not served, by verdict and reason
     */
    record KindFigures(
            String phase,
            String kind,
            int sent,
            int inTime,
            int refused,
            int unresolved,
            int late,
            int sends,
            double medianMillis,
            double p99Millis,
            double p999Millis,
            double worthKept,
            double worthSent,
            Map<String, Integer> reasons) {
        private static KindFigures of(List<RequestResult> results) {
            Arrival firstArrival = results.get(0).arrival();
            Histogram histogram = new Histogram(MAXIMUM_LATENCY_MICROS, 3);
            results.stream()
                    .filter(RequestResult::served)
                    .forEach(result -> histogram.recordValue(
                            Math.min(MAXIMUM_LATENCY_MICROS, Math.max(0, Math.round(result.latencyMillis() * 1_000)))));
            int inTime = count(results, RequestResult::inTime);
            Map<String, Integer> reasons = new TreeMap<>();
            results.stream()
                    .filter(result -> !result.served())
                    .forEach(result -> reasons.merge(result.verdict() + '/' + result.reason(), 1, Integer::sum));
            return new KindFigures(
                    firstArrival.phase(),
                    firstArrival.kind().name(),
                    results.size(),
                    inTime,
                    count(results, result -> result.verdict().equals("not-run")),
                    count(results, result -> result.verdict().equals("may-have-run")),
                    count(results, result -> result.served() && !result.inTime()),
                    results.stream().mapToInt(RequestResult::sends).sum(),
                    histogram.getValueAtPercentile(50) / 1_000.0,
                    histogram.getValueAtPercentile(99) / 1_000.0,
                    histogram.getValueAtPercentile(99.9) / 1_000.0,
                    inTime * firstArrival.kind().worth(),
                    results.size() * firstArrival.kind().worth(),
                    reasons);
        }
    }

    /**
     * Counts of violated guarantees.
     *
     * @param doubles keyed requests that ran more than once
     * @param falseNotRun keyed requests that ended as not run although they ran
     * @param lost keyed requests that ended as served although they didn't run; 0 when the runs are not known
     * @param wrongOwner answers that belong to another request
     * @param cut answers that are truncated
     */
    record Safety(int doubles, int falseNotRun, int lost, int wrongOwner, int cut) {
        private static Safety of(List<RequestResult> results, Map<String, Integer> runsByWorkId) {
            List<RequestResult> keyed = results.stream()
                    .filter(result -> result.arrival().kind().keyed())
                    .toList();
            return new Safety(
                    count(keyed, result -> runsByWorkId.getOrDefault(result.workId(), 0) > 1),
                    count(
                            keyed,
                            result -> result.verdict().equals("not-run") && runsByWorkId.containsKey(result.workId())),
                    runsByWorkId.isEmpty()
                            ? 0
                            : count(keyed, result -> result.served() && !runsByWorkId.containsKey(result.workId())),
                    count(results, result -> result.check() == Check.WRONG_OWNER),
                    count(results, result -> result.check() == Check.CUT));
        }

        /** Returns whether all guarantees held. */
        boolean holds() {
            return doubles + falseNotRun + lost + wrongOwner + cut == 0;
        }

        String summary() {
            return String.format(
                    "doubles %d, false not-run %d, lost %d, wrong owner %d, cut %d%n",
                    doubles, falseNotRun, lost, wrongOwner, cut);
        }
    }

    private static int count(List<RequestResult> results, Predicate<RequestResult> condition) {
        return (int) results.stream().filter(condition).count();
    }
}
