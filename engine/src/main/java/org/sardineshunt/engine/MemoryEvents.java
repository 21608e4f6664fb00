package org.sardineshunt.engine;

import java.util.concurrent.atomic.AtomicLong;

import org.sardineshunt.coordination.memory.MemoryBudget;

/**
 * Logs and counts what happens when memory or connections run short, each event at most ten times a second, since
 * thousands of callers may cause it. Thread-safe.
 */
final class MemoryEvents implements MemoryBudget.EvictionListener {
    private static final long MINIMUM_INTERVAL_NANOS = 100_000_000;

    private final EventLog log;
    private final MetricRegistry metrics;
    private final AtomicLong lastEvictionNanos = new AtomicLong(System.nanoTime() - MINIMUM_INTERVAL_NANOS);
    private final AtomicLong lastRefusalNanos = new AtomicLong(System.nanoTime() - MINIMUM_INTERVAL_NANOS);
    private final AtomicLong lastConnectionNanos = new AtomicLong(System.nanoTime() - MINIMUM_INTERVAL_NANOS);

    MemoryEvents(EventLog log, MetricRegistry metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void evicted(MemoryBudget.Kind kind, long bytes, long idleMillis) {
        metrics.count("evictions", kind.label());
        if (isDue(lastEvictionNanos)) {
            log.event("holder-evicted")
                    .with("kind", kind.label())
                    .with("bytes", bytes)
                    .with("idleMillis", idleMillis)
                    .write();
        }
    }

    @Override
    public void refused(MemoryBudget.Kind kind, long bytes, long reservedBytes) {
        metrics.count("memory_refusals", kind.label());
        if (isDue(lastRefusalNanos)) {
            log.event("memory-short")
                    .with("kind", kind.label())
                    .with("bytes", bytes)
                    .with("reserved", reservedBytes)
                    .write();
        }
    }

    /** Records that a caller's connection was closed because too many are open. */
    void connectionClosed(int openConnections) {
        metrics.count("connections_refused", "limit");
        if (isDue(lastConnectionNanos)) {
            log.event("connection-refused").with("open", openConnections).write();
        }
    }

    private static boolean isDue(AtomicLong lastNanos) {
        long last = lastNanos.get();
        long now = System.nanoTime();
        return now - last >= MINIMUM_INTERVAL_NANOS && lastNanos.compareAndSet(last, now);
    }
}
