package org.sardineshunt.engine.platform;

import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;

/**
 * Asynchronous access to the transactional tables of the platform. Thread-safe; each call passes one result to its
 * callback, on any thread.
 *
 * <p>A call that fails may have been performed, or may still be performed later.
 */
public interface TableStore {
    /** Reads a consistent snapshot of all rows of a table. */
    void read(String table, Consumer<Either<TableFailure, TableRows>> onResult);

    /**
     * Waits for changed rows; the result has no rows if none changed in time.
     *
     * @param after version of the last change that the caller knows
     * @param waitMillis longest time to wait for a change; 0 for an immediate response
     * @return an action that cancels the call, after which it may pass on no result
     */
    Runnable awaitChanges(
            String table, TableVersion after, long waitMillis, Consumer<Either<TableFailure, TableRows>> onResult);

    /**
     * Writes a row if its version is as expected. The result is the new version.
     *
     * @param expected version that the stored row must have; its number is 0 if no row may exist
     */
    void write(
            String table,
            String key,
            byte[] value,
            TableVersion expected,
            Consumer<Either<TableFailure, TableVersion>> onResult);

    /**
     * Rows, and the table version up to which they are complete.
     *
     * @param rows all rows, or the changed ones
     * @param version version of the last change that they include
     */
    record TableRows(List<Row> rows, TableVersion version) {}

    /**
     * A row of a table.
     *
     * @param key key, unique in the table
     * @param value content; empty for a removed row
     * @param version number of its last change, in the era of the table version that it was read with
     * @param removed whether it was removed
     */
    record Row(String key, byte[] value, long version, boolean removed) {}

    /**
     * The failure of a call.
     *
     * @param kind cause, which decides what the caller does next
     * @param detail description for the log
     * @param era era that the store stated in its response; 0 if there was no response or it stated none
     */
    record TableFailure(Kind kind, String detail, long era) {
        /** Creates a failure that states no era. */
        public TableFailure(Kind kind, String detail) {
            this(kind, detail, 0);
        }

        /** Causes of a failure. */
        public enum Kind {
            /** No usable response was received; the call may have been performed. */
            UNAVAILABLE,
            /** No response was received in time, although the call was sent; it may have been performed. */
            UNANSWERED,
            /** The row has another version than expected; nothing was written. */
            CONFLICT,
            /** The changes since the requested version are no longer available. */
            HISTORY_LOST
        }
    }
}
