package org.sardineshunt.engine;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counters and latency histograms of an engine, by name and label. Thread-safe. */
public final class MetricRegistry {
    private static final long[] BUCKET_BOUNDS_MILLIS = {
        5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000
    };

    private final Map<Key, LongAdder> counts = new ConcurrentHashMap<>();
    private final Map<Key, LongAdder[]> histograms = new ConcurrentHashMap<>();

    /** Counts an event with a label. */
    public void count(String name, String label) {
        counts.computeIfAbsent(new Key(name, label), key -> new LongAdder()).increment();
    }

    /** Records a duration in milliseconds. */
    public void observe(String name, String label, long durationMillis) {
        LongAdder[] buckets = histograms.computeIfAbsent(new Key(name, label), key -> newBuckets());
        int index = 0;
        while (index < BUCKET_BOUNDS_MILLIS.length && durationMillis > BUCKET_BOUNDS_MILLIS[index]) {
            index++;
        }
        buckets[index].increment();
        buckets[BUCKET_BOUNDS_MILLIS.length + 1].add(durationMillis);
    }

    /** Returns the value of a counter, 0 if it was never counted. */
    public long counterValue(String name, String label) {
        LongAdder adder = counts.get(new Key(name, label));
        return adder == null ? 0 : adder.sum();
    }

    /** Returns all counters, sorted. */
    Map<Key, Long> counts() {
        Map<Key, Long> sorted = new TreeMap<>();
        counts.forEach((key, adder) -> sorted.put(key, adder.sum()));
        return sorted;
    }

    /** Returns the bucket counts of all histograms and, last, the sum of their durations in milliseconds. */
    Map<Key, long[]> histograms() {
        Map<Key, long[]> sorted = new TreeMap<>();
        histograms.forEach((key, buckets) -> sorted.put(
                key, java.util.Arrays.stream(buckets).mapToLong(LongAdder::sum).toArray()));
        return sorted;
    }

    static double[] bucketBoundsSeconds() {
        return java.util.Arrays.stream(BUCKET_BOUNDS_MILLIS)
                .mapToDouble(millis -> millis / 1_000.0)
                .toArray();
    }

    private static LongAdder[] newBuckets() {
        return java.util.stream.Stream.generate(LongAdder::new)
                .limit(BUCKET_BOUNDS_MILLIS.length + 2L)
                .toArray(LongAdder[]::new);
    }

    /**
     * Name and label of a counter.
     *
     * @param name what is counted
     * @param label value of its only label
     */
    record Key(String name, String label) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int nameOrder = name.compareTo(other.name);
            return nameOrder != 0 ? nameOrder : label.compareTo(other.label);
        }
    }
}
