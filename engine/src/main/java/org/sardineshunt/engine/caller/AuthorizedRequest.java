package org.sardineshunt.engine.caller;

import java.util.Optional;

import org.sardineshunt.coordination.account.ClientAccount;
import org.sardineshunt.coordination.account.RunningRequests.RunningRequest;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.coordination.route.Route;

/**
 * What a request may do, by its key or by the running request that makes it. Immutable and thread-safe.
 *
 * @param configuration configuration by which it was authorized
 * @param route its route
 * @param account client account that its key belongs to; empty if it needs no key
 * @param keyFingerprint fingerprint of that key; 0 if it needs none
 * @param parent the running request that makes it as a call; empty if none does
 */
record AuthorizedRequest(
        FleetConfiguration configuration,
        Route route,
        Optional<ClientAccount> account,
        long keyFingerprint,
        Optional<RunningRequest> parent) {
    /** Returns the rank: that of the running request that makes it, else of the account, else of the route. */
    int rank() {
        return parent.map(RunningRequest::rank).orElseGet(() -> account.map(ClientAccount::rank)
                .filter(rank -> rank.isPresent())
                .map(rank -> rank.getAsInt())
                .orElse(route.rank()));
    }

    /** Returns the account of the request. */
    RequestAccount requestAccount() {
        String name = account.map(ClientAccount::name)
                .orElse(parent.map(RunningRequest::account).orElse(""));
        return new RequestAccount(name, keyFingerprint, configuration.accounts().isPresent());
    }
}
