package org.sardineshunt.coordination.account;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account as configured. Immutable and thread-safe.
 *
 * @param name unique name, not empty
 * @param rank rank of its requests, 0 is the most urgent; empty if the route's rank applies
 * @param requestsPerSecond requests that it may send in the long run; 0 for no limit
 * @param burst requests that it may send at once beyond the rate
 * @param keys digests of the keys that belong to it
 */
public record ClientAccount(
        String name, OptionalInt rank, double requestsPerSecond, double burst, Set<KeyDigest> keys) {
    /** Validates the values. */
    public ClientAccount {
        Objects.requireNonNull(name, "name");
        // The name is sent as the value of a header.
        if (name.isBlank() || !name.equals(name.strip()) || !name.chars().allMatch(ClientAccount::isPrintable)) {
            throw new IllegalArgumentException("account name '" + name
                    + "' is empty, starts or ends with a space, or has characters other than printable ASCII");
        }
        if (!(requestsPerSecond >= 0 && burst >= 0)) {
            throw new IllegalArgumentException(
                    "account '" + name + "': rate " + requestsPerSecond + " or burst " + burst + " is negative");
        }
        keys = Set.copyOf(keys);
    }

    /** Returns whether the number of its requests is limited. */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }

    private static boolean isPrintable(int character) {
        return character >= ' ' && character <= '~';
    }
}
