package org.sardineshunt.engine;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Counters, gauges and latency histograms of an engine, each identified by a name and the value of its label. Thread-safe. */
public final class MetricRegistry {
    private static final long[] BUCKET_BOUNDS_MILLIS = {
        5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000
    };

    private static final int MAXIMUM_ACCOUNT_LABELS = 20;

    // Accounts come and go with the configuration, and each counter costs memory until the process ends.
    private static final int MAXIMUM_ACCOUNT_COUNTERS = 4_096;
    private static final String OTHER_ACCOUNTS = "other";

    private final Map<Key, LongAdder> counts = new ConcurrentHashMap<>();
    private final Map<Key, LongSupplier> gauges = new ConcurrentHashMap<>();
    private final Map<Key, LongAdder> accountCounts = new ConcurrentHashMap<>();
    private final Map<Key, LongAdder[]> histograms = new ConcurrentHashMap<>();

    /** Increments a counter, which starts at 0. */
    public void count(String name, String label) {
        counts.computeIfAbsent(new Key(name, label), key -> new LongAdder()).increment();
    }

    /** Adds a value that is read for each page; the supplier must be thread-safe. */
    public void gauge(String name, String label, LongSupplier value) {
        gauges.put(new Key(name, label), value);
    }

    /** Increments a counter of a client account. Only the largest are shown by account, see {@link #counts}. */
    public void countForAccount(String name, String account) {
        Key key = new Key(name, account);
        LongAdder adder = accountCounts.get(key);
        if (adder == null) {
            Key bounded = accountCounts.size() < MAXIMUM_ACCOUNT_COUNTERS ? key : new Key(name, OTHER_ACCOUNTS);
            adder = accountCounts.computeIfAbsent(bounded, added -> new LongAdder());
        }
        adder.increment();
    }

    /** Adds a duration to a histogram. */
    public void observe(String name, String label, long durationMillis) {
        LongAdder[] buckets = histograms.computeIfAbsent(new Key(name, label), key -> newBuckets());
        int index = 0;
        while (index < BUCKET_BOUNDS_MILLIS.length && durationMillis > BUCKET_BOUNDS_MILLIS[index]) {
            index++;
        }
        buckets[index].increment();
        buckets[BUCKET_BOUNDS_MILLIS.length + 1].add(durationMillis);
    }

    /** Returns the value of a counter; 0 if it was never incremented. */
    public long counterValue(String name, String label) {
        LongAdder adder = counts.get(new Key(name, label));
        return adder == null ? 0 : adder.sum();
    }

    /**
     * Returns the values of all counters, sorted by name and label. Of the counters of client accounts, the 20 largest
     * of each name have a label of their own; the others are summed.
     */
    Map<Key, Long> counts() {
        Map<Key, Long> sorted = new TreeMap<>();
        counts.forEach((key, adder) -> sorted.put(key, adder.sum()));
        Map<String, List<Map.Entry<Key, Long>>> byName = accountCounts.entrySet().stream()
                .map(entry -> Map.entry(entry.getKey(), entry.getValue().sum()))
                .sorted(Map.Entry.<Key, Long>comparingByValue().reversed().thenComparing(Map.Entry.comparingByKey()))
                .collect(Collectors.groupingBy(entry -> entry.getKey().name()));
        byName.forEach((name, entries) -> IntStream.range(0, entries.size())
                .forEach(index -> sorted.merge(
                        index < MAXIMUM_ACCOUNT_LABELS ? entries.get(index).getKey() : new Key(name, OTHER_ACCOUNTS),
                        entries.get(index).getValue(),
                        Long::sum)));
        return sorted;
    }

    /** Returns the values of all gauges, sorted by name and label. */
    Map<Key, Long> gauges() {
        Map<Key, Long> sorted = new TreeMap<>();
        gauges.forEach((key, value) -> sorted.put(key, value.getAsLong()));
        return sorted;
    }

    /**
     * Returns all histograms, sorted by name and label. Each array holds the number of durations in each bucket, then
     * the number above the last bound and the sum of all durations in milliseconds.
     */
    Map<Key, long[]> histograms() {
        Map<Key, long[]> sorted = new TreeMap<>();
        histograms.forEach((key, buckets) -> sorted.put(
                key, java.util.Arrays.stream(buckets).mapToLong(LongAdder::sum).toArray()));
        return sorted;
    }

    /** Returns the upper bounds of the buckets, in seconds. */
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
     * Identifies a counter or histogram.
     *
     * @param name name of the metric
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
