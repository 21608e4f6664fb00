package org.sardineshunt.coordination.rotation;

/**
 * What work the rotation gives to one upstream, and why.
 *
 * @param id the upstream
 * @param use what work it receives
 * @param cause why it receives that work
 */
public record RotationDecision(String id, Use use, Cause cause) {
    /** What work an upstream receives. */
    public enum Use {
        /** All work. */
        FULL,
        /** Only a share of the idempotent work. */
        TRIAL,
        /** No new work. */
        NONE
    }

    /** Why an upstream receives the work it does. */
    public enum Cause {
        HEALTHY("healthy"),
        KEPT_BY_OVERRIDE("kept in by an override"),
        HELD_BY_FLOOR("held in rotation by the capacity floor"),
        DRAIN_HELD_BY_FLOOR("drain held back by the capacity floor"),
        ON_TRIAL("on trial after an ejection"),
        UNHEALTHY("ejected as unhealthy"),
        DRAINED("drained by an override"),
        LEAVING("announced that it stops"),
        UNREACHABLE("home node is not a live member");

        private final String text;

        Cause(String text) {
            this.text = text;
        }

        /** Returns the cause in words for operators. */
        public String text() {
            return text;
        }
    }
}
