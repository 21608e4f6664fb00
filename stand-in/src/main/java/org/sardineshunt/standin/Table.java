package org.sardineshunt.standin;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * In-memory table with transactions: if all conditions on row versions are met, all writes are applied, otherwise none.
 * Thread-safe.
 */
final class Table {
    private final TreeMap<String, Row> rowsByKey = new TreeMap<>();
    private long lastVersion;

    /** Applies a transaction; returns its version, or the rows whose conditions were not met. */
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

    /** Requires that a row has a version; 0 requires that there is no such row. */
    record Condition(String key, long version) {}

    /** Sets the value of a row; null deletes the row. */
    record Write(String key, String value) {}

    record Transaction(List<Condition> conditions, List<Write> writes) {}

    record Outcome(long version, List<Row> conflicts) {}

    record Rows(List<Row> rows) {}

    /** In-memory objects by name. Thread-safe; contents are not copied. */
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
