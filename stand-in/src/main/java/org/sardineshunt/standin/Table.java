package org.sardineshunt.standin;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Transactional rows in memory: conditions on versions, then all writes or none. Thread-safe. */
final class Table {
    private final TreeMap<String, Row> rowsByKey = new TreeMap<>();
    private long lastVersion;

    /** Applies a transaction; returns the rows whose conditions failed, empty when it took effect. */
    synchronized Outcome apply(Transaction transaction) {
        List<Row> conflicts = transaction.conditions().stream()
                .filter(condition -> !isMet(condition))
                .map(condition -> rowsByKey.getOrDefault(condition.key(), new Row(condition.key(), 0, null)))
                .toList();
        if (!conflicts.isEmpty()) {
            return new Outcome(0, conflicts);
        }
        lastVersion++;
        transaction.writes().forEach(this::write);
        return new Outcome(lastVersion, List.of());
    }

    synchronized Optional<Row> read(String key) {
        return Optional.ofNullable(rowsByKey.get(key));
    }

    synchronized List<Row> range(String from, String to, int limit) {
        return rowsByKey.subMap(from, true, to, false).values().stream()
                .limit(limit)
                .toList();
    }

    private boolean isMet(Condition condition) {
        Row row = rowsByKey.get(condition.key());
        return (row == null ? 0 : row.version()) == condition.version();
    }

    private void write(Write write) {
        if (write.value() == null) {
            rowsByKey.remove(write.key());
        } else {
            rowsByKey.put(write.key(), new Row(write.key(), lastVersion, write.value()));
        }
    }

    record Row(String key, long version, String value) {}

    /** Requires a row's version; 0 means that the row is absent. */
    record Condition(String key, long version) {}

    /** Sets a row, or deletes it when the value is null. */
    record Write(String key, String value) {}

    record Transaction(List<Condition> conditions, List<Write> writes) {}

    record Outcome(long version, List<Row> conflicts) {}

    record Rows(List<Row> rows) {}

    /** Objects by name, for the object store. */
    static final class ObjectStore {
        private final Map<String, byte[]> contentByName = new java.util.concurrent.ConcurrentHashMap<>();

        void put(String name, byte[] content) {
            contentByName.put(name, content);
        }

        Optional<byte[]> get(String name) {
            return Optional.ofNullable(contentByName.get(name));
        }
    }
}
