package org.sardineshunt.coordination.limit;

import java.util.LinkedHashMap;
import java.util.Map;

/** On-time work of one rank that had to wait recently, by account, as service time that decays. Not thread-safe. */
final class OnTimeLoads {
    // Time constant of the decay. A longer one recognises an overload later, so that more work is refused only after
    // its target.
    static final double WINDOW_MILLIS = 1_500;

    // The load of an account below this is forgotten.
    private static final double NEGLIGIBLE_MILLIS = 0.001;

    private final Map<String, Load> loads = new LinkedHashMap<>();

    /** Adds work of an account. */
    void record(long nowMillis, String account, double serviceMillis) {
        double addedMillis = of(nowMillis, account) + serviceMillis;
        loads.values().removeIf(load -> load.decayedMillis(nowMillis) < NEGLIGIBLE_MILLIS);
        loads.put(account, new Load(addedMillis, nowMillis));
    }

    /** Returns the load of an account, in milliseconds of service. */
    double of(long nowMillis, String account) {
        Load load = loads.get(account);
        return load == null ? 0 : load.decayedMillis(nowMillis);
    }

    /** Returns the load of all accounts, in milliseconds of service. */
    double total(long nowMillis) {
        return loads.values().stream()
                .mapToDouble(load -> load.decayedMillis(nowMillis))
                .sum();
    }

    /**
     * The load of one account.
     *
     * @param millis its expected service time
     * @param updatedAtMillis time of the last addition
     */
    private record Load(double millis, long updatedAtMillis) {
        double decayedMillis(long nowMillis) {
            return millis * Math.exp((updatedAtMillis - nowMillis) / WINDOW_MILLIS);
        }
    }
}
