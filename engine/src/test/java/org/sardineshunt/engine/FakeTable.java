package org.sardineshunt.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.sardineshunt.engine.platform.TableStore;
import org.sardineshunt.engine.platform.TableVersion;

/** A table store in memory that can fail on demand. Thread-safe. */
public final class FakeTable implements TableStore {
    private Map<String, Map<String, Row>> tables = new LinkedHashMap<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private long version;
    private long era = 1;
    private long historyStartVersion;
    private boolean down;
    private boolean losingResponses;

    /** Sets whether all calls fail, including those that wait for changes. */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
        if (down) {
            List<PendingWatch> interrupted = List.copyOf(pendingWatches);
            pendingWatches.clear();
            interrupted.forEach(watch -> watch.onResult().accept(unavailable()));
        }
    }

    /** Sets whether writes are performed but reported as failed, as if their responses were lost. */
    public synchronized void setLosingResponses(boolean isLosing) {
        losingResponses = isLosing;
    }

    /** Drops the history: waiting calls, and later ones for older changes, fail with {@code HISTORY_LOST}. */
    public synchronized void forgetHistory() {
        historyStartVersion = version;
        List<PendingWatch> interrupted = List.copyOf(pendingWatches);
        pendingWatches.clear();
        interrupted.forEach(watch -> watch.onResult().accept(historyLost()));
    }

    /** Returns a copy of all tables. */
    public synchronized Copy copy() {
        return new Copy(copyOf(tables), version);
    }

    /** Comes back from a copy, in the next era, in which versions are given out again; waiting calls fail. */
    public synchronized void comeBack(Copy copy) {
        tables = copyOf(copy.tables());
        version = copy.version();
        historyStartVersion = version;
        era++;
        setDown(true);
        setDown(false);
    }

    private static Map<String, Map<String, Row>> copyOf(Map<String, Map<String, Row>> tables) {
        Map<String, Map<String, Row>> copies = new LinkedHashMap<>();
        tables.forEach((table, rows) -> copies.put(table, new LinkedHashMap<>(rows)));
        return copies;
    }

    /**
     * All tables at one moment.
     *
     * @param tables rows by table and key
     * @param version version of the last change
     */
    public record Copy(Map<String, Map<String, Row>> tables, long version) {}

    /** Writes a row without a version check, as if by another writer. */
    public synchronized void put(String table, String key, byte[] value) {
        Row row = new Row(key, value, ++version, false);
        rows(table).put(key, row);
        notifyWatches(table, row);
    }

    /** Removes a row without a version check, as if by another writer; later watches don't see it as removed. */
    public synchronized void remove(String table, String key) {
        rows(table).remove(key);
        notifyWatches(table, new Row(key, new byte[0], ++version, true));
    }

    private void notifyWatches(String table, Row row) {
        List<PendingWatch> notified = pendingWatches.stream()
                .filter(watch -> watch.table().equals(table))
                .toList();
        pendingWatches.removeAll(notified);
        notified.forEach(watch -> watch.onResult().accept(Either.right(new TableRows(List.of(row), tableVersion()))));
    }

    /** Returns the value of a row, or null if it does not exist. */
    public synchronized byte[] value(String table, String key) {
        Row row = rows(table).get(key);
        return row == null ? null : row.value();
    }

    @Override
    public synchronized void read(String table, Consumer<Either<TableFailure, TableRows>> onResult) {
        onResult.accept(
                down
                        ? unavailable()
                        : Either.right(new TableRows(List.copyOf(rows(table).values()), tableVersion())));
    }

    @Override
    public synchronized Runnable awaitChanges(
            String table, TableVersion after, long waitMillis, Consumer<Either<TableFailure, TableRows>> onResult) {
        PendingWatch watch = new PendingWatch(table, onResult);
        List<Row> changed = rows(table).values().stream()
                .filter(row -> row.version() > after.number())
                .toList();
        if (down) {
            onResult.accept(unavailable());
        } else if (after.number() < historyStartVersion || after.number() > version) {
            onResult.accept(historyLost());
        } else if (changed.isEmpty() && waitMillis > 0) {
            pendingWatches.add(watch);
        } else {
            onResult.accept(Either.right(new TableRows(changed, tableVersion())));
        }
        return () -> cancel(watch);
    }

    private synchronized void cancel(PendingWatch watch) {
        pendingWatches.remove(watch);
    }

    @Override
    public synchronized void write(
            String table,
            String key,
            byte[] value,
            TableVersion expected,
            Consumer<Either<TableFailure, TableVersion>> onResult) {
        if (down) {
            onResult.accept(Either.left(new TableFailure(TableFailure.Kind.UNAVAILABLE, "down")));
            return;
        }
        Row current = rows(table).get(key);
        long currentVersion = current == null ? 0 : current.version();
        if (currentVersion != expected.number()) {
            onResult.accept(Either.left(new TableFailure(TableFailure.Kind.CONFLICT, "version " + currentVersion)));
            return;
        }
        put(table, key, value);
        onResult.accept(
                losingResponses
                        ? Either.left(new TableFailure(TableFailure.Kind.UNAVAILABLE, "response lost"))
                        : Either.right(tableVersion()));
    }

    private TableVersion tableVersion() {
        return new TableVersion(era, version);
    }

    private Map<String, Row> rows(String table) {
        return tables.computeIfAbsent(table, name -> new LinkedHashMap<>());
    }

    private static <T> Either<TableFailure, T> unavailable() {
        return Either.left(new TableFailure(TableFailure.Kind.UNAVAILABLE, "down"));
    }

    private static <T> Either<TableFailure, T> historyLost() {
        return Either.left(new TableFailure(TableFailure.Kind.HISTORY_LOST, "history lost"));
    }

    private record PendingWatch(String table, Consumer<Either<TableFailure, TableRows>> onResult) {}
}
