package org.sardineshunt.kit;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentHashMap;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Prometheus metrics of one process; all names start with {@code sardineshunt_}. Thread-safe. */
public final class Metrics {
    private static final String PREFIX = "sardineshunt_";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final ConcurrentHashMap<String, Counter> counters = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, Gauge> gauges = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, Histogram> histograms = new ConcurrentHashMap<>();

    /** Returns the counter with a name, created at the first call; the exposed name ends in {@code _total}. */
    public Counter counter(String name, String help, String... labels) {
        return counters.computeIfAbsent(name, key -> Counter.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames(labels)
                .register(registry));
    }

    /** Returns the gauge with a name, created at the first call. */
    public Gauge gauge(String name, String help, String... labels) {
        return gauges.computeIfAbsent(name, key -> Gauge.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames(labels)
                .register(registry));
    }

    /**
     * Returns the histogram with a name, created at the first call. Its values are seconds, its classic buckets go from
     * 0.5 ms to 10 s.
     */
    public Histogram histogram(String name, String help, String... labels) {
        return histograms.computeIfAbsent(name, key -> Histogram.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames(labels)
                .classicOnly()
                .classicUpperBounds(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)
                .register(registry));
    }

    /** Returns all metrics in the Prometheus text format. */
    public String exposition() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
