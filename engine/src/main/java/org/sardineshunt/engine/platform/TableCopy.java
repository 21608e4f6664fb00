package org.sardineshunt.engine.platform;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sardineshunt.engine.platform.TableStore.Row;
import org.sardineshunt.engine.platform.TableStore.TableRows;

/** The rows of a table, as far as they are known, and the version up to which they are complete. Not thread-safe. */
final class TableCopy {
    private final Map<String, Row> rows = new HashMap<>();
    private TableVersion version = TableVersion.NONE;

    /** Returns the version up to which the rows are complete. */
    TableVersion version() {
        return version;
    }

    /** Returns the row with the given key, if it exists. */
    Optional<Row> row(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    /** Returns whether a snapshot is older than this copy, as reads of a store may be that is behind. */
    boolean isNewerThan(TableRows snapshot) {
        return snapshot.version().era() == version.era() && snapshot.version().number() < version.number();
    }

    /**
     * Replaces all rows; returns those that are new, changed or removed. Rows that the first snapshot of an era lacks weren't
     * removed: the store has lost them, and their writers write them again.
     */
    List<Row> replace(TableRows snapshot) {
        boolean sameEra = snapshot.version().era() == version.era();
        List<Row> changed = Stream.concat(
                        newOrChangedRows(snapshot.rows()), sameEra ? removedRows(snapshot.rows()) : Stream.empty())
                .toList();
        if (!sameEra) {
            rows.clear();
            snapshot.rows().forEach(row -> rows.put(row.key(), row));
        }
        applyRows(changed);
        version = snapshot.version();
        return changed;
    }

    /** Applies changes that follow the version of this copy. */
    void apply(TableRows changes) {
        applyRows(changes.rows());
        if (changes.version().compareTo(version) > 0) {
            version = changes.version();
        }
    }

    private void applyRows(List<Row> changed) {
        changed.forEach(row -> {
            if (row.removed()) {
                rows.remove(row.key());
            } else {
                rows.put(row.key(), row);
            }
        });
    }

    // Versions of an earlier era are given out again, so a row with the same one may have other content.
    private Stream<Row> newOrChangedRows(List<Row> read) {
        return read.stream().filter(row -> {
            Row known = rows.get(row.key());
            return known == null || known.version() != row.version() || !Arrays.equals(known.value(), row.value());
        });
    }

    private Stream<Row> removedRows(List<Row> read) {
        Set<String> keys = read.stream().map(Row::key).collect(Collectors.toSet());
        return rows.values().stream()
                .filter(row -> !keys.contains(row.key()))
                .map(row -> new Row(row.key(), new byte[0], row.version(), true));
    }
}
