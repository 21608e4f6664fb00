package org.sardineshunt.engine.platform;

import java.util.Comparator;

/**
 * Version of a table or of one of its rows. A store that comes back from an older copy starts a new era, in which it gives
 * out numbers again, so a number names a state only together with its era. Ordered by era, then by number. Immutable and
 * thread-safe.
 *
 * @param era era of the store, which rises with each return from an older copy; 0 if the store states none
 * @param number number that rises with each change within the era; 0 for a row that doesn't exist
 */
public record TableVersion(long era, long number) implements Comparable<TableVersion> {
    /** The version before the first change, of a store that has stated no era. */
    public static final TableVersion NONE = new TableVersion(0, 0);

    private static final Comparator<TableVersion> ORDER =
            Comparator.comparingLong(TableVersion::era).thenComparingLong(TableVersion::number);

    /** Returns the version with the same number in the given era. */
    public TableVersion inEra(long newEra) {
        return new TableVersion(newEra, number);
    }

    @Override
    public int compareTo(TableVersion other) {
        return ORDER.compare(this, other);
    }
}
