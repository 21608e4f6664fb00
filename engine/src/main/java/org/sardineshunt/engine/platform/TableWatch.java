package org.sardineshunt.engine.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.sardineshunt.engine.ControlLoop;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.platform.TableStore.Row;
import org.sardineshunt.engine.platform.TableStore.TableFailure;
import org.sardineshunt.engine.platform.TableStore.TableRows;

/**
 * Mirrors a table: reads it once, follows its changes, and reads it again when history was lost. Belongs to the control
 * thread.
 */
public final class TableWatch {
    private static final long WAIT_MILLIS = 30_000;
    private static final long FIRST_RETRY_MILLIS = 150;
    private static final long LONGEST_RETRY_MILLIS = 1_000;

    private final ControlLoop control;
    private final EventLog log;
    private final TableStore store;
    private final String table;
    private final long pauseMillis;
    private final Random random;
    private final Consumer<List<Row>> onChanged;
    private final Map<String, Row> rows = new HashMap<>();
    private long version;
    private boolean loaded;
    private boolean reachable = true;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private long changedAtMillis;

    /**
     * Creates a watch that doesn't read yet.
     *
     * @param pauseMillis pause after each change, so that changes in quick succession share a call
     * @param onChanged takes rows that are new, changed or removed, on the control thread; after the first read it is
     *     called even without any
     */
    public TableWatch(
            ControlLoop control,
            EventLog log,
            TableStore store,
            String table,
            long pauseMillis,
            Random random,
            Consumer<List<Row>> onChanged) {
        this.control = control;
        this.log = log;
        this.store = store;
        this.table = table;
        this.pauseMillis = pauseMillis;
        this.random = random;
        this.onChanged = onChanged;
    }

    /** Starts reading; goes on for the life of the process. */
    public void start() {
        store.read(table, result -> control.execute(() -> take(result, true)));
    }

    /** Returns whether the table was read at least once. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Returns the milliseconds since the last news of the table. */
    public long millisSinceUpdate() {
        return control.nowMillis() - changedAtMillis;
    }

    /** Returns a row, unless it doesn't exist. */
    public Optional<Row> row(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    private void follow() {
        store.awaitChanges(table, version, WAIT_MILLIS, result -> control.execute(() -> take(result, false)));
    }

    private void take(Either<TableFailure, TableRows> result, boolean whole) {
        if (result.isLeft()) {
            failed(result.getLeft());
            return;
        }
        regained();
        TableRows news = result.get();
        List<Row> changed = whole ? differences(news.rows()) : news.rows();
        changed.forEach(this::apply);
        version = Math.max(version, news.version());
        boolean first = !loaded;
        loaded = true;
        changedAtMillis = control.nowMillis();
        if (first || !changed.isEmpty()) {
            onChanged.accept(changed);
        }
        control.after(changed.isEmpty() ? 0 : pauseMillis, this::follow);
    }

    private List<Row> differences(List<Row> read) {
        Map<String, Row> byKey = read.stream().collect(Collectors.toMap(Row::key, row -> row));
        return java.util.stream.Stream.concat(
                        read.stream().filter(row -> {
                            Row known = rows.get(row.key());
                            return known == null || known.version() != row.version();
                        }),
                        rows.values().stream()
                                .filter(row -> !byKey.containsKey(row.key()))
                                .map(row -> new Row(row.key(), new byte[0], row.version(), true)))
                .toList();
    }

    private void apply(Row row) {
        if (row.removed()) {
            rows.remove(row.key());
        } else {
            rows.put(row.key(), row);
        }
    }

    private void failed(TableFailure failure) {
        if (failure.kind() == TableFailure.Kind.HISTORY_LOST) {
            log.event("table-history-lost")
                    .with("table", table)
                    .with("version", version)
                    .write();
            start();
            return;
        }
        if (reachable) {
            reachable = false;
            log.event("table-lost")
                    .with("table", table)
                    .with("version", version)
                    .with("cause", failure.detail())
                    .write();
        }
        long delay = retryMillis / 2 + (long) (random.nextDouble() * retryMillis);
        retryMillis = Math.min(LONGEST_RETRY_MILLIS, retryMillis * 2);
        control.after(delay, loaded ? this::follow : this::start);
    }

    private void regained() {
        retryMillis = FIRST_RETRY_MILLIS;
        if (!reachable) {
            reachable = true;
            log.event("table-regained")
                    .with("table", table)
                    .with("version", version)
                    .write();
        }
    }
}
