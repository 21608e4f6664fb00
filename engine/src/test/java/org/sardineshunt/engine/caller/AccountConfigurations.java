package org.sardineshunt.engine.caller;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sardineshunt.coordination.account.AccountDirectory;
import org.sardineshunt.coordination.account.ClientAccount;
import org.sardineshunt.coordination.account.KeyDigest;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;
import org.sardineshunt.coordination.route.Route;

/** Configurations with one client account of rank 2, a route of rank 5 that needs a key, and a public one. */
public final class AccountConfigurations {
    public static final String ACCOUNT = "shop";
    public static final String KEYED_PATH = "/keyed/";
    public static final String PUBLIC_PATH = "/public/";

    private AccountConfigurations() {}

    /** Returns a configuration whose account is unlimited and has these keys. */
    public static FleetConfiguration withKeys(long version, String... keys) {
        return withAccount(version, 0, 0, keys);
    }

    /** Returns a configuration whose account has these limits and keys. */
    public static FleetConfiguration withAccount(long version, double rate, double burst, String... keys) {
        Set<KeyDigest> digests = Stream.of(keys).map(KeyDigest::of).collect(Collectors.toSet());
        ClientAccount account = new ClientAccount(ACCOUNT, OptionalInt.of(2), rate, burst, digests);
        return create(version, Optional.of(new AccountDirectory(List.of(account))));
    }

    public static FleetConfiguration withoutAccounts(long version) {
        return create(version, Optional.empty());
    }

    private static FleetConfiguration create(long version, Optional<AccountDirectory> accounts) {
        return new FleetConfiguration(
                version,
                List.of(route("keyed", KEYED_PATH, false), route("public", PUBLIC_PATH, true)),
                List.of(new FleetConfiguration.Service("service", "", 100)),
                CallerLimits.DEFAULT,
                accounts);
    }

    private static Route route(String name, String prefix, boolean publicAccess) {
        return new Route(
                name, "h", prefix, true, 2, 4_000, 600_000, 5, List.of(new Route.Share("service", 1)), publicAccess);
    }
}
