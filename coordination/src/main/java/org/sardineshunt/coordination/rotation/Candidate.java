package org.sardineshunt.coordination.rotation;

import java.util.Objects;

/**
 * One upstream as an input of the rotation.
 *
 * @param id unique within the fleet, not null
 * @param slots requests it can run at once, at least 0
 * @param condition its health, not null
 * @param severity how bad an unhealthy upstream is; higher is worse
 * @param override the operators' override for it, not null
 * @param leaving whether it announced that it stops; such an upstream never comes back
 * @param reachable whether its home node is a live member
 */
public record Candidate(
        String id,
        int slots,
        HealthCondition condition,
        int severity,
        Override override,
        boolean leaving,
        boolean reachable) {
    /** An operator's override for an upstream. */
    public enum Override {
        /** No override. */
        NONE,
        /** Keep in rotation whatever its health. */
        KEEP_IN,
        /** Give it no new work, if the floor allows. */
        DRAIN
    }

    /** Validates the values. */
    public Candidate {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(condition, "condition of '" + id + "'");
        Objects.requireNonNull(override, "override of '" + id + "'");
        if (slots < 0) {
            throw new IllegalArgumentException("upstream '" + id + "': slots " + slots + " is negative");
        }
    }
}
