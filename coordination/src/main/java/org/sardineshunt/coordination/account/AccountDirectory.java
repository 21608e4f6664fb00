package org.sardineshunt.coordination.account;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The client accounts of one version of the configuration, by key and by name. Immutable and thread-safe.
 *
 * <pre>{@code
 * Optional<ClientAccount> account = directory.find(KeyDigest.of(key));
 * }</pre>
 *
 * <p>A key that is listed for several accounts belongs to the first of them, and of several accounts with one name the
 * first counts, so that all nodes decide alike.
 */
public final class AccountDirectory {
    private final Map<KeyDigest, ClientAccount> accountsByKey = new HashMap<>();
    private final Map<String, ClientAccount> accountsByName = new HashMap<>();
    private final Map<String, Set<Long>> fingerprintsByName;

    /** Creates a directory. */
    public AccountDirectory(List<ClientAccount> accounts) {
        accounts.forEach(account -> {
            accountsByName.putIfAbsent(account.name(), account);
            account.keys().forEach(key -> accountsByKey.putIfAbsent(key, account));
        });
        fingerprintsByName = accountsByKey.entrySet().stream()
                .collect(Collectors.groupingBy(
                        entry -> entry.getValue().name(),
                        Collectors.mapping(entry -> entry.getKey().fingerprint(), Collectors.toSet())));
    }

    /** Returns the account that a key belongs to. */
    public Optional<ClientAccount> find(KeyDigest key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Returns the account with a name. */
    public Optional<ClientAccount> find(String name) {
        return Optional.ofNullable(accountsByName.get(name));
    }

    /** Returns whether a key with the fingerprint belongs to the account with the name. */
    public boolean isKeyOf(String accountName, long keyFingerprint) {
        return fingerprintsByName.getOrDefault(accountName, Set.of()).contains(keyFingerprint);
    }

    /** Returns how many accounts there are. */
    public int size() {
        return accountsByName.size();
    }
}
