package org.sardineshunt.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.sardineshunt.load.Deployment.WorkKind;

/** Arrival times of all requests, drawn before the run so that waiting is counted. Immutable. */
final class LoadPlan {
    private final List<Arrival> arrivals;

    private LoadPlan(List<Arrival> arrivals) {
        this.arrivals = arrivals;
    }

    /**
     * Draws Poisson arrivals.
     *
     * @param factors factor on the usual rate of a kind in each phase; 1 for kinds that are not named
     */
    static LoadPlan generate(List<WorkKind> kinds, List<Phase> phases, long seed) {
        List<Arrival> generated = new ArrayList<>();
        Random random = new Random(seed);
        for (Phase phase : phases) {
            kinds.forEach(kind -> addArrivals(kind, phase, random, generated));
        }
        generated.sort(Comparator.comparingDouble(Arrival::atMillis));
        return new LoadPlan(List.copyOf(generated));
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    private static void addArrivals(WorkKind kind, Phase phase, Random random, List<Arrival> generated) {
        double arrivalsPerMillis = kind.rate() * phase.rateFactors().getOrDefault(kind.name(), 1.0) / 1_000;
        double atMillis = phase.fromMillis();
        while (arrivalsPerMillis > 0) {
            atMillis += -Math.log(1 - random.nextDouble()) / arrivalsPerMillis;
            if (atMillis >= phase.toMillis()) {
                return;
            }
            generated.add(new Arrival(atMillis, kind, phase.name()));
        }
    }

    /** One request of the plan. */
    record Arrival(double atMillis, WorkKind kind, String phase) {}

    /** A stretch of time with its own rates. */
    record Phase(String name, long fromMillis, long toMillis, Map<String, Double> rateFactors) {}
}
