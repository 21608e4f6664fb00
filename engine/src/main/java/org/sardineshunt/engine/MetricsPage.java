package org.sardineshunt.engine;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpResponseData;

/**
 * Renders counters as a page for Prometheus. Its classes are loaded by the first page, not at the start. Thread-safe.
 */
public final class MetricsPage {
    private static final String PREFIX = "sardineshunt_";
    private static final String LABEL = "label";

    private MetricsPage() {}

    /** Returns the page. */
    public static HttpResponseData render(MetricRegistry counters) {
        Stream<MetricSnapshot> all = Stream.concat(
                byName(counters.counts()).entrySet().stream().map(MetricsPage::counter),
                byName(counters.histograms()).entrySet().stream().map(MetricsPage::histogram));
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(page, MetricSnapshots.of(all.toArray(MetricSnapshot[]::new)));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return new HttpResponseData(
                200,
                List.of(new HttpHeader("Content-Type", PrometheusTextFormatWriter.CONTENT_TYPE)),
                page.toByteArray());
    }

    private static <T> Map<String, Map<String, T>> byName(Map<MetricRegistry.Key, T> values) {
        return values.entrySet().stream()
                .collect(Collectors.groupingBy(
                        entry -> entry.getKey().name(),
                        TreeMap::new,
                        Collectors.toMap(
                                entry -> entry.getKey().label(), Map.Entry::getValue, (a, b) -> a, TreeMap::new)));
    }

    private static MetricSnapshot counter(Map.Entry<String, Map<String, Long>> named) {
        CounterSnapshot.Builder builder = CounterSnapshot.builder().name(PREFIX + named.getKey());
        named.getValue()
                .forEach((label, value) -> builder.dataPoint(CounterSnapshot.CounterDataPointSnapshot.builder()
                        .labels(Labels.of(LABEL, label))
                        .value(value)
                        .build()));
        return builder.build();
    }

    private static MetricSnapshot histogram(Map.Entry<String, Map<String, long[]>> named) {
        HistogramSnapshot.Builder builder = HistogramSnapshot.builder().name(PREFIX + named.getKey());
        named.getValue()
                .forEach((label, values) -> builder.dataPoint(HistogramSnapshot.HistogramDataPointSnapshot.builder()
                        .labels(Labels.of(LABEL, label))
                        .classicHistogramBuckets(buckets(values))
                        .sum(values[values.length - 1] / 1_000.0)
                        .build()));
        return builder.build();
    }

    private static ClassicHistogramBuckets buckets(long[] values) {
        double[] bounds = MetricRegistry.boundsSeconds();
        ClassicHistogramBuckets.Builder buckets = ClassicHistogramBuckets.builder();
        for (int index = 0; index < bounds.length; index++) {
            buckets.bucket(bounds[index], values[index]);
        }
        return buckets.bucket(Double.POSITIVE_INFINITY, values[bounds.length]).build();
    }
}
