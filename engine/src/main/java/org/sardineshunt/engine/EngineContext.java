package org.sardineshunt.engine;

import java.util.Random;

import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;

/**
 * What the parts of one engine share. The crash guard and the random source belong to the control thread.
 *
 * @param control thread that owns all state, and its timers
 * @param log log of decisions
 * @param metrics counters and histograms
 * @param settings settings of the engine
 * @param incarnation start of this process in epoch milliseconds
 * @param crashDetector requests that crash upstreams
 * @param random source of randomness
 */
public record EngineContext(
        ControlEventLoop control,
        EventLog log,
        MetricRegistry metrics,
        EngineSettings settings,
        long incarnation,
        CrashingRequestDetector crashDetector,
        Random random) {}
