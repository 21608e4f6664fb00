package org.sardineshunt.engine.backendserver;

import java.util.Optional;
import java.util.function.Supplier;

import org.sardineshunt.coordination.account.AccountDirectory;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;

/** Checks the keys of attempts by the configuration of the home, which may be newer than that of their entry. */
final class KeyCheck {
    private final Supplier<Optional<FleetConfiguration>> configuration;

    KeyCheck(Supplier<Optional<FleetConfiguration>> configuration) {
        this.configuration = configuration;
    }

    /** Returns whether the key of an attempt has been taken from its account since the entry accepted the request. */
    boolean isRevoked(Attempt attempt) {
        return attempt.getKeyFingerprint() != 0
                && version() > attempt.getConfigurationVersion()
                && accounts()
                        .filter(accounts -> !accounts.isKeyOf(attempt.getAccount(), attempt.getKeyFingerprint()))
                        .isPresent();
    }

    /** Returns whether there are client accounts. */
    boolean hasAccounts() {
        return accounts().isPresent();
    }

    /** Returns the version of the configuration; 0 before the first one was received. */
    long version() {
        return configuration.get().map(FleetConfiguration::version).orElse(0L);
    }

    private Optional<AccountDirectory> accounts() {
        return configuration.get().flatMap(FleetConfiguration::accounts);
    }
}
