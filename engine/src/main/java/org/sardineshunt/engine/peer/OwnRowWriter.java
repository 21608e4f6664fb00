package org.sardineshunt.engine.peer;

import java.util.Optional;

import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.platform.MonitoredTableStore;
import org.sardineshunt.engine.platform.TableStore.Row;
import org.sardineshunt.engine.platform.TableStore.TableFailure;
import org.sardineshunt.engine.platform.TableStore.TableRows;
import org.sardineshunt.engine.platform.TableVersion;
import org.sardineshunt.engine.platform.TableWatch;

/**
 * Writes the row of this node, each time under the version that the stored row has, until it is stored. Confined to the
 * control thread.
 */
final class OwnRowWriter {
    private static final long WAIT_MILLIS = 100;
    private static final long RETRY_MILLIS = 400;

    private final TimerService timers;
    private final EventLog log;
    private final MonitoredTableStore store;
    private final TableWatch watch;
    private final String table;
    private final String ownId;
    private Optional<Content> content = Optional.empty();
    private Optional<Stored> stored = Optional.empty();
    private TableVersion rowVersion = TableVersion.NONE;
    private boolean writeInProgress;

    /**
     * Creates a writer that has nothing to write.
     *
     * @param watch follows the table; its changes of the row are passed to {@link #recordChange}
     * @param ownId ID of this node, which is the key of its row
     */
    OwnRowWriter(
            TimerService timers,
            EventLog log,
            MonitoredTableStore store,
            TableWatch watch,
            String table,
            String ownId) {
        this.timers = timers;
        this.log = log;
        this.store = store;
        this.watch = watch;
        this.table = table;
        this.ownId = ownId;
    }

    /**
     * Writes the row and retries until it is stored or a later call replaces it.
     *
     * @param onStored called when exactly this value is stored, also by {@link #writeAgain}
     */
    void write(byte[] value, Runnable onStored) {
        Content next = new Content(value, onStored);
        content = Optional.of(next);
        write(next);
    }

    /** Writes the row again if the store has come back from an older copy since it was stored. */
    void writeAgain() {
        boolean lost = stored.filter(
                        last -> content.filter(last.content()::equals).isPresent())
                .filter(last -> last.era() < store.era())
                .isPresent();
        if (lost) {
            log.event("row-written-again")
                    .with("table", table)
                    .with("era", store.era())
                    .write();
            write(content.get());
        }
    }

    /** Records that the table was read, maybe for the first time in an era. */
    void recordEra() {
        if (watch.version().era() != rowVersion.era()) {
            rowVersion = rowVersion(watch.version().era(), watch.row(ownId));
        }
    }

    /** Records a change of the row that the watch has shown. */
    void recordChange(Row row) {
        recordVersion(new TableVersion(watch.version().era(), row.version()));
    }

    private void write(Content written) {
        if (content.filter(written::equals).isEmpty()) {
            return;
        }
        // Until the table was read in its current era, the version of the row isn't known.
        boolean current = watch.isLoaded() && watch.version().era() == store.era();
        if (writeInProgress || !current) {
            timers.after(WAIT_MILLIS, () -> write(written));
            return;
        }
        writeInProgress = true;
        store.write(table, ownId, written.value(), rowVersion, result -> {
            writeInProgress = false;
            if (result.isRight()) {
                recordVersion(result.get());
                stored = Optional.of(new Stored(written, result.get().era()));
                written.onStored().run();
            } else {
                handleFailure(written, result.getLeft());
            }
        });
    }

    private void handleFailure(Content written, TableFailure failure) {
        log.event("row-write-failed")
                .with("table", table)
                .with("kind", failure.kind().name())
                .with("cause", failure.detail())
                .with("expectedVersion", rowVersion.number())
                .write();
        timers.after(RETRY_MILLIS, () -> write(written));
        if (failure.kind() == TableFailure.Kind.CONFLICT) {
            // The stored row has another version than expected: read that version for the next try.
            store.read(table, result -> result.forEach(this::recordSnapshot));
        }
    }

    private void recordSnapshot(TableRows snapshot) {
        Optional<Row> row = snapshot.rows().stream()
                .filter(read -> read.key().equals(ownId))
                .findFirst();
        TableVersion inSnapshot = rowVersion(snapshot.version().era(), row);
        if (row.isEmpty() && snapshot.version().compareTo(rowVersion) >= 0) {
            // Removed, because it was not written after the snapshot.
            rowVersion = inSnapshot;
        } else {
            recordVersion(inSnapshot);
        }
    }

    private void recordVersion(TableVersion version) {
        if (version.compareTo(rowVersion) > 0) {
            rowVersion = version;
        }
    }

    private static TableVersion rowVersion(long era, Optional<Row> row) {
        return new TableVersion(era, row.map(Row::version).orElse(0L));
    }

    // Compared by identity: the value of a later call may be equal, and its callback isn't.
    private static final class Content {
        private final byte[] value;
        private final Runnable onStored;

        private Content(byte[] value, Runnable onStored) {
            this.value = value;
            this.onStored = onStored;
        }

        private byte[] value() {
            return value;
        }

        private Runnable onStored() {
            return onStored;
        }
    }

    /** Content that was stored, and the era in which it was. */
    private record Stored(Content content, long era) {}
}
