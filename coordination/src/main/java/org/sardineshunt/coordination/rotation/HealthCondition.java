package org.sardineshunt.coordination.rotation;

/** Health of an upstream as its home sees it. */
public enum HealthCondition {
    /** Its failure share and latency are usual for upstreams of its service. */
    HEALTHY,
    /** Was ejected and is being tested with a share of the idempotent work. */
    TRIAL,
    /** Fails or is slow compared with the other upstreams of its service. */
    UNHEALTHY;

    private static final HealthCondition[] VALUES = values();

    /** Returns the condition with an ordinal, or {@link #UNHEALTHY} for an unknown one. */
    public static HealthCondition ofOrdinal(int ordinal) {
        return ordinal >= 0 && ordinal < VALUES.length ? VALUES[ordinal] : UNHEALTHY;
    }
}
