package org.sardineshunt.engine.backendserver;

import org.sardineshunt.coordination.health.Baseline;

/** Provides the health baseline of a service. Called on the control thread. */
@FunctionalInterface
public interface BaselineProvider {
    /** Returns the baseline over all upstreams of a service; {@link Baseline#UNKNOWN} if none has reported lately. */
    Baseline baseline(String service);
}
