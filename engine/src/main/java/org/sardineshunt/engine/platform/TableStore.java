package org.sardineshunt.engine.platform;

import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;

/**
 * The platform's transactional table, as the engine uses it. Thread-safe; results arrive on any thread, exactly once.
 *
 * <p>A call that fails may have been performed, or may still be.
 */
public interface TableStore {
    /** Reads all rows of a table as of one moment. */
    void read(String table, Consumer<Either<TableFailure, TableRows>> onResult);

    /**
     * Waits for changed rows.
     *
     * @param afterVersion version of the last known change
     * @param waitMillis how long to wait for a change
     */
    void awaitChanges(
            String table, long afterVersion, long waitMillis, Consumer<Either<TableFailure, TableRows>> onResult);

    /**
     * Writes a row if it still has a version.
     *
     * @param expectedVersion version that the row must have; 0 if it must not exist
     */
    void write(
            String table,
            String key,
            byte[] value,
            long expectedVersion,
            Consumer<Either<TableFailure, Long>> onResult);

    /**
     * Rows and the version up to which they are complete.
     *
     * @param rows the rows
     * @param version version of the newest change that they reflect
     */
    record TableRows(List<Row> rows, long version) {}

    /**
     * A row.
     *
     * @param key unique in its table
     * @param value what it holds; empty for a removed row
     * @param version version of its last change
     * @param removed whether it was removed
     */
    record Row(String key, byte[] value, long version, boolean removed) {}

    /**
     * Why a call failed.
     *
     * @param kind what the caller can do about it
     * @param detail text for the log
     */
    record TableFailure(Kind kind, String detail) {
        /** Kinds of failure. */
        public enum Kind {
            /** No usable answer came; the call may have been performed. */
            UNAVAILABLE,
            /** The row has another version than expected; nothing was done. */
            CONFLICT,
            /** Changes since the requested version are no longer known. */
            HISTORY_LOST
        }
    }
}
