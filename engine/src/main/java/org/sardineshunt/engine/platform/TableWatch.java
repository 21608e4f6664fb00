package org.sardineshunt.engine.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.platform.TableStore.Row;
import org.sardineshunt.engine.platform.TableStore.TableFailure;
import org.sardineshunt.engine.platform.TableStore.TableRows;

/**
 * Keeps a copy of a table: reads it once, follows its changes by long polling, and reads it again if the platform no
 * longer has the changes. Confined to the control thread.
 */
public final class TableWatch {
    private static final long LONG_POLL_MILLIS = 30_000;
    private static final long FIRST_RETRY_DELAY_MILLIS = 150;
    private static final long MAXIMUM_RETRY_DELAY_MILLIS = 1_000;

    private final ControlEventLoop control;
    private final EventLog log;
    private final TableStore store;
    private final String table;
    private final LongSupplier changePauseMillis;
    private final Random random;
    private final Consumer<List<Row>> onChanged;
    private final Map<String, Row> rows = new HashMap<>();
    private long version;
    private boolean loaded;
    private boolean reachable = true;
    private long retryDelayMillis = FIRST_RETRY_DELAY_MILLIS;
    private long updatedAtMillis;

    /**
     * Creates a watch that does not read yet.
     *
     * @param changePauseMillis supplies the pause after each change, so that one call returns several changes in quick succession
     * @param onChanged receives new, changed and removed rows on the control thread; called after the first read even
     *     if there are none
     */
    public TableWatch(
            ControlEventLoop control,
            EventLog log,
            TableStore store,
            String table,
            LongSupplier changePauseMillis,
            Random random,
            Consumer<List<Row>> onChanged) {
        this.control = control;
        this.log = log;
        this.store = store;
        this.table = table;
        this.changePauseMillis = changePauseMillis;
        this.random = random;
        this.onChanged = onChanged;
    }

    /** Reads the table and follows its changes until the process ends. */
    public void start() {
        store.read(table, result -> control.execute(() -> handleResult(result, true)));
    }

    /** Returns whether the table has been read at least once. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Returns the milliseconds since the last successful call, also one that brought no changes. */
    public long millisSinceUpdate() {
        return control.nowMillis() - updatedAtMillis;
    }

    /** Returns the row with the given key, if it exists. */
    public Optional<Row> row(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    private void awaitChanges() {
        store.awaitChanges(
                table, version, LONG_POLL_MILLIS, result -> control.execute(() -> handleResult(result, false)));
    }

    private void handleResult(Either<TableFailure, TableRows> result, boolean fullRead) {
        if (result.isLeft()) {
            handleFailure(result.getLeft());
            return;
        }
        markReachable();
        TableRows received = result.get();
        List<Row> changed = fullRead ? changedRows(received.rows()) : received.rows();
        changed.forEach(this::applyRow);
        version = Math.max(version, received.version());
        boolean first = !loaded;
        loaded = true;
        updatedAtMillis = control.nowMillis();
        // Scheduled first, so that rows which the receiver can't handle don't end the watch.
        control.after(changed.isEmpty() ? 0 : changePauseMillis.getAsLong(), this::awaitChanges);
        if (first || !changed.isEmpty()) {
            onChanged.accept(changed);
        }
    }

    private List<Row> changedRows(List<Row> read) {
        Map<String, Row> byKey =
                read.stream().collect(Collectors.toMap(Row::key, row -> row, (earlier, later) -> later));
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

    private void applyRow(Row row) {
        if (row.removed()) {
            rows.remove(row.key());
        } else {
            rows.put(row.key(), row);
        }
    }

    private void handleFailure(TableFailure failure) {
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
        long delay = retryDelayMillis / 2 + (long) (random.nextDouble() * retryDelayMillis);
        retryDelayMillis = Math.min(MAXIMUM_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
        control.after(delay, loaded ? this::awaitChanges : this::start);
    }

    private void markReachable() {
        retryDelayMillis = FIRST_RETRY_DELAY_MILLIS;
        if (!reachable) {
            reachable = true;
            log.event("table-regained")
                    .with("table", table)
                    .with("version", version)
                    .write();
        }
    }
}
