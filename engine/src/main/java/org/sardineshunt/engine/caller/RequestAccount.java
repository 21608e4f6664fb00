package org.sardineshunt.engine.caller;

/**
 * The client account of a request. Immutable and thread-safe.
 *
 * @param name account that the request is served for, also that of the running request that makes it; empty if none
 * @param keyFingerprint fingerprint of the request's own key; 0 if it has none
 * @param accountsConfigured whether there are accounts, so that keys must not be passed on
 */
record RequestAccount(String name, long keyFingerprint, boolean accountsConfigured) {
    /** The account of a request where no accounts are configured. */
    static final RequestAccount NONE = new RequestAccount("", 0, false);

    /** Returns whether the request itself has a key of the account. */
    boolean hasKey() {
        return keyFingerprint != 0;
    }
}
