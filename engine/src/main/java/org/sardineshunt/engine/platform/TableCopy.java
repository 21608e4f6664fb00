package org.sardineshunt.engine.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

    /** Replaces all rows; returns those that are new, changed or removed. */
    List<Row> replace(TableRows snapshot) {
        List<Row> changed = changedRows(snapshot.rows());
        apply(new TableRows(changed, snapshot.version()));
        return changed;
    }

    /** Applies changes that follow the version of this copy. */
    void apply(TableRows changes) {
        changes.rows().forEach(row -> {
            if (row.removed()) {
                rows.remove(row.key());
            } else {
                rows.put(row.key(), row);
            }
        });
        version = changes.version();
    }

    private List<Row> changedRows(List<Row> read) {
        Map<String, Row> byKey =
                read.stream().collect(Collectors.toMap(Row::key, row -> row, (earlier, later) -> later));
        return Stream.concat(
                        read.stream().filter(row -> {
                            Row known = rows.get(row.key());
                            return known == null || known.version() != row.version();
                        }),
                        rows.values().stream()
                                .filter(row -> !byKey.containsKey(row.key()))
                                .map(row -> new Row(row.key(), new byte[0], row.version(), true)))
                .toList();
    }
}
