package org.sardineshunt.engine;

import java.util.Random;

import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;

/**
 * Objects that the parts of one engine share. The crash detector and the random source are confined to the control
 * thread.
 *
 * @param control event loop whose thread owns all state
 * @param log log of the node's decisions
 * @param metrics counters and latency histograms
 * @param settings settings of the engine
 * @param incarnation start time of this process, in milliseconds since the epoch
 * @param crashDetector detects requests that crash upstreams
 * @param random source of random numbers
 */
public record EngineContext(
        ControlEventLoop control,
        EventLog log,
        MetricRegistry metrics,
        EngineSettings settings,
        long incarnation,
        CrashingRequestDetector crashDetector,
        Random random) {}
