package org.sardineshunt.node.platform;

/** Signals that a request to the platform got no usable response. */
public final class PlatformFailure extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveTakenEffect;

    PlatformFailure(boolean mayHaveTakenEffect, String message) {
        super(message);
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }

    /** Returns whether a write may have taken effect although no usable response arrived. */
    public boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }
}
