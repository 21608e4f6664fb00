package org.sardineshunt.engine.backendserver;

import org.sardineshunt.coordination.health.Baseline;

/** Tells what is usual among the upstreams of a service. */
@FunctionalInterface
public interface BaselineProvider {
    /** Returns what is usual in a service's group; {@link Baseline#UNKNOWN} without knowledge. */
    Baseline baseline(String service);
}
