package org.sardineshunt.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.sardineshunt.load.Deployment.WorkKind;

/**
 * Arrival times of all requests of a run. They are generated before the run and latency counts from them, so that the
 * time for which a request waits to be sent is part of its latency. Immutable.
 */
final class LoadPlan {
    private final List<Arrival> arrivals;

    private LoadPlan(List<Arrival> arrivals) {
        this.arrivals = arrivals;
    }

    /** Generates Poisson arrivals of each kind in each phase; the same seed gives the same plan. */
    static LoadPlan generate(List<WorkKind> kinds, List<Phase> phases, long seed) {
        List<Arrival> generated = new ArrayList<>();
        Random random = new Random(seed);
        for (Phase phase : phases) {
            kinds.forEach(kind -> addArrivals(kind, phase, random, generated));
        }
        generated.sort(Comparator.comparingDouble(Arrival::atMillis));
        return new LoadPlan(List.copyOf(generated));
    }

    /** Returns all arrivals in the order of time. */
    List<Arrival> arrivals() {
        return arrivals;
    }

    private static void addArrivals(WorkKind kind, Phase phase, Random random, List<Arrival> generated) {
        double arrivalsPerMillis = kind.rate() * phase.rateFactors().getOrDefault(kind.name(), 1.0) / 1_000;
        double atMillis = phase.fromMillis();
        while (arrivalsPerMillis > 0) {
            // Exponentially distributed gaps make the arrivals a Poisson process.
            atMillis += -Math.log(1 - random.nextDouble()) / arrivalsPerMillis;
            if (atMillis >= phase.toMillis()) {
                return;
            }
            generated.add(new Arrival(atMillis, kind, phase.name()));
        }
    }

    /**
     * One request of the plan.
     *
     * @param atMillis planned time of the send, in milliseconds since the start of the run
     * @param kind kind of the request
     * @param phase name of the phase
     */
    record Arrival(double atMillis, WorkKind kind, String phase) {}

    /**
     * A period of the run with its own rates.
     *
     * @param name name of the phase
     * @param fromMillis start, in milliseconds since the start of the run
     * @param toMillis end, exclusive, in milliseconds since the start of the run
     * @param rateFactors factor on the usual rate by name of the kind; 1 for kinds that are not listed
     */
    record Phase(String name, long fromMillis, long toMillis, Map<String, Double> rateFactors) {}
}
