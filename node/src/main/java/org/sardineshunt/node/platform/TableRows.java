package org.sardineshunt.node.platform;

import java.util.List;

/** JSON bodies of the platform's table service. */
public final class TableRows {
    private TableRows() {}

    /**
     * A row of the table.
     *
     * @param key its key
     * @param version version of its last write; 0 for an absent row
     * @param value its value; null for an absent row
     */
    public record Row(String key, long version, String value) {}

    /**
     * Rows ordered by key.
     *
     * @param rows the rows
     */
    public record Rows(List<Row> rows) {}

    /**
     * Requires that a row has a given version.
     *
     * @param key the row
     * @param version its version; 0 requires that it is absent
     */
    public record Condition(String key, long version) {}

    /**
     * Sets or deletes a row.
     *
     * @param key the row
     * @param value its new value; null deletes it
     */
    public record Write(String key, String value) {}

    /**
     * Writes that are applied atomically if all conditions hold.
     *
     * @param conditions required row versions
     * @param writes rows to set or delete
     */
    public record Transaction(List<Condition> conditions, List<Write> writes) {}

    /**
     * Result of a transaction.
     *
     * @param version version of the written rows; 0 if the transaction was not applied
     * @param conflicts current state of the rows whose conditions failed
     */
    public record Outcome(long version, List<Row> conflicts) {}
}
