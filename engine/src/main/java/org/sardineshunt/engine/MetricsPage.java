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
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpResponseData;

/**
 * Renders metrics in the Prometheus text format. The Prometheus classes are loaded for the first page, not at startup.
 * Thread-safe.
 */
public final class MetricsPage {
    private static final String PREFIX = "sardineshunt_";
    private static final String LABEL = "label";

    private MetricsPage() {}

    /** Returns a response with the current values of all metrics. */
    public static HttpResponseData render(MetricRegistry metrics) {
        Stream<MetricSnapshot> snapshots = Stream.of(
                        groupByName(metrics.counts()).entrySet().stream().map(MetricsPage::toCounter),
                        groupByName(metrics.gauges()).entrySet().stream().map(MetricsPage::toGauge),
                        groupByName(metrics.histograms()).entrySet().stream().map(MetricsPage::toHistogram))
                .flatMap(group -> group);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create()
                    .write(output, MetricSnapshots.of(snapshots.toArray(MetricSnapshot[]::new)));
        } catch (IOException unexpected) {
            // A byte array stream throws none.
            throw new UncheckedIOException(unexpected);
        }
        return new HttpResponseData(
                200,
                List.of(new HttpHeader("Content-Type", PrometheusTextFormatWriter.CONTENT_TYPE)),
                output.toByteArray());
    }

    private static <T> Map<String, Map<String, T>> groupByName(Map<MetricRegistry.Key, T> values) {
        return values.entrySet().stream()
                .collect(Collectors.groupingBy(
                        entry -> entry.getKey().name(),
                        TreeMap::new,
                        Collectors.toMap(
                                entry -> entry.getKey().label(),
                                Map.Entry::getValue,
                                (first, second) -> first,
                                TreeMap::new)));
    }

    private static MetricSnapshot toCounter(Map.Entry<String, Map<String, Long>> metric) {
        CounterSnapshot.Builder builder = CounterSnapshot.builder().name(PREFIX + metric.getKey());
        metric.getValue()
                .forEach((label, value) -> builder.dataPoint(CounterSnapshot.CounterDataPointSnapshot.builder()
                        .labels(Labels.of(LABEL, label))
                        .value(value)
                        .build()));
        return builder.build();
    }

    private static MetricSnapshot toGauge(Map.Entry<String, Map<String, Long>> metric) {
        GaugeSnapshot.Builder builder = GaugeSnapshot.builder().name(PREFIX + metric.getKey());
        metric.getValue()
                .forEach((label, value) -> builder.dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder()
                        .labels(Labels.of(LABEL, label))
                        .value(value)
                        .build()));
        return builder.build();
    }

    private static MetricSnapshot toHistogram(Map.Entry<String, Map<String, long[]>> metric) {
        HistogramSnapshot.Builder builder = HistogramSnapshot.builder().name(PREFIX + metric.getKey());
        metric.getValue()
                .forEach((label, values) -> builder.dataPoint(HistogramSnapshot.HistogramDataPointSnapshot.builder()
                        .labels(Labels.of(LABEL, label))
                        .classicHistogramBuckets(toBuckets(values))
                        .sum(values[values.length - 1] / 1_000.0)
                        .build()));
        return builder.build();
    }

    private static ClassicHistogramBuckets toBuckets(long[] values) {
        double[] bounds = MetricRegistry.bucketBoundsSeconds();
        ClassicHistogramBuckets.Builder buckets = ClassicHistogramBuckets.builder();
        for (int index = 0; index < bounds.length; index++) {
            buckets.bucket(bounds[index], values[index]);
        }
        return buckets.bucket(Double.POSITIVE_INFINITY, values[bounds.length]).build();
    }
}
