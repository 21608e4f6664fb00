package org.sardineshunt.coordination.rotation;

/** What the home of an upstream knows of its health. */
public enum HealthCondition {
    /** Serves within the group's usual failure share and latency. */
    HEALTHY,
    /** Was out and is being tried with a trickle of idempotent work. */
    TRIAL,
    /** Fails or is slow compared with its group. */
    UNHEALTHY;

    private static final HealthCondition[] VALUES = values();

    /** Returns the condition with an ordinal, or {@link #UNHEALTHY} for an unknown one. */
    public static HealthCondition ofOrdinal(int ordinal) {
        return ordinal >= 0 && ordinal < VALUES.length ? VALUES[ordinal] : UNHEALTHY;
    }
}
