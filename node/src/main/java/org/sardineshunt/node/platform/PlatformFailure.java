package org.sardineshunt.node.platform;

/** A request to the platform that got no usable answer. */
public final class PlatformFailure extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveTakenEffect;

    PlatformFailure(boolean mayHaveTakenEffect, String message) {
        super(message);
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }

    /** Returns whether a write may have taken effect although its answer was lost. */
    public boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }
}
