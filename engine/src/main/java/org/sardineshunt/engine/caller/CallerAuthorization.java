package org.sardineshunt.engine.caller;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.account.AccountDirectory;
import org.sardineshunt.coordination.account.ClientAccount;
import org.sardineshunt.coordination.account.KeyDigest;
import org.sardineshunt.coordination.account.RunningRequests.RunningRequest;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.coordination.route.Route;
import org.sardineshunt.engine.RequestHeaders;
import org.sardineshunt.engine.caller.RequestAdmission.Refusal;
import org.sardineshunt.engine.http.HttpRequestData;
import org.sardineshunt.engine.platform.ConfigurationTracker;

/**
 * Decides whether a request is accepted, and for which client account. A request is refused for its key only by a
 * configuration that was confirmed as the newest. A missing route isn't confirmed, because requests without a route are
 * frequent and each confirmation is a call of the store. Confined to the control thread.
 */
final class CallerAuthorization {
    /** When to come back if the configuration could not be confirmed. */
    static final long UNCONFIRMED_RETRY_AFTER_MILLIS = 500;

    private static final String KEY_SCHEME = "bearer ";

    private final RequestHeaders headers;
    private final ConfigurationTracker configuration;
    private final Function<String, Optional<RunningRequest>> runningRequest;
    private final Predicate<String> tryAcquireCall;

    /**
     * Creates an authorization.
     *
     * @param runningRequest finds a request that the local upstream is running, by its ID
     * @param tryAcquireCall takes one of the calls without a key that the running request with an ID may make
     */
    CallerAuthorization(
            RequestHeaders headers,
            ConfigurationTracker configuration,
            Function<String, Optional<RunningRequest>> runningRequest,
            Predicate<String> tryAcquireCall) {
        this.headers = headers;
        this.configuration = configuration;
        this.runningRequest = runningRequest;
        this.tryAcquireCall = tryAcquireCall;
    }

    /**
     * Decides on a request.
     *
     * @param onDecision receives the decision, before this method returns unless the configuration must be confirmed
     */
    void authorize(HttpRequestData request, Consumer<Either<Refusal, AuthorizedRequest>> onDecision) {
        Either<Refused, AuthorizedRequest> decision = decide(request);
        if (decision.isRight() || !decision.getLeft().needsConfirmation()) {
            onDecision.accept(decision.mapLeft(Refused::refusal));
            return;
        }
        // The store may have a newer configuration, so the request is judged again.
        configuration.confirm(confirmed -> onDecision.accept(
                decide(request).mapLeft(refused -> confirmed ? refused.refusal() : refused.whileUnconfirmed())));
    }

    private Either<Refused, AuthorizedRequest> decide(HttpRequestData request) {
        Optional<FleetConfiguration> current = configuration.current();
        if (current.isEmpty()) {
            return refuse(
                    Reason.NOT_READY, UNCONFIRMED_RETRY_AFTER_MILLIS, false, "no configuration has been received");
        }
        FleetConfiguration inForce = current.get();
        Optional<Route> route = inForce.match(request.header("host").orElse(""), request.path());
        if (route.isEmpty()) {
            String detail = "no route found in configuration version " + inForce.version();
            return refuse(Reason.NO_ROUTE, 0, false, detail);
        }
        Optional<RunningRequest> parent = parentId(request).flatMap(runningRequest);
        if (inForce.accounts().isEmpty() || route.get().publicAccess()) {
            return Either.right(new AuthorizedRequest(inForce, route.get(), Optional.empty(), 0, parent));
        }
        Optional<String> key = key(request);
        return key.isPresent()
                ? decideByKey(inForce, route.get(), key.get())
                : decideByParent(inForce, route.get(), parentId(request), parent);
    }

    private Either<Refused, AuthorizedRequest> decideByKey(FleetConfiguration inForce, Route route, String key) {
        KeyDigest digest = KeyDigest.of(key);
        Optional<ClientAccount> account = inForce.accounts().flatMap(accounts -> accounts.find(digest));
        return account.isPresent()
                ? Either.right(new AuthorizedRequest(inForce, route, account, digest.fingerprint(), Optional.empty()))
                : refuse(Reason.KEY_UNKNOWN, 0, true, "unknown key");
    }

    // Upstreams call without a key. Whoever knows the ID of a running request can do so, too, but not often.
    private Either<Refused, AuthorizedRequest> decideByParent(
            FleetConfiguration inForce, Route route, Optional<String> parentId, Optional<RunningRequest> parent) {
        if (parentId.isEmpty()) {
            return refuse(Reason.KEY_UNKNOWN, 0, true, "no key");
        }
        if (parent.isEmpty() || !tryAcquireCall.test(parentId.get())) {
            String cause = parent.isEmpty() ? " is not running here" : " made too many calls without a key";
            return refuse(
                    Reason.PARENT_NOT_RUNNING,
                    UNCONFIRMED_RETRY_AFTER_MILLIS,
                    false,
                    "request '" + parentId.get() + "'" + cause);
        }
        return Either.right(new AuthorizedRequest(inForce, route, Optional.empty(), 0, parent));
    }

    /** Returns whether a key with the fingerprint still belongs to an account, by the configuration in force. */
    boolean isKeyOf(String accountName, long keyFingerprint) {
        Optional<AccountDirectory> accounts = configuration.current().flatMap(FleetConfiguration::accounts);
        return accounts.isEmpty() || accounts.get().isKeyOf(accountName, keyFingerprint);
    }

    private Optional<String> parentId(HttpRequestData request) {
        return request.header(headers.requestId()).flatMap(headers::parentRequestId);
    }

    private Optional<String> key(HttpRequestData request) {
        return request.header(headers.accountKey())
                .filter(value -> value.regionMatches(true, 0, KEY_SCHEME, 0, KEY_SCHEME.length()))
                .map(value -> value.substring(KEY_SCHEME.length()).strip())
                .filter(key -> !key.isEmpty());
    }

    private static Either<Refused, AuthorizedRequest> refuse(
            Reason reason, long retryAfterMillis, boolean needsConfirmation, String detail) {
        return Either.left(new Refused(new Refusal(reason, retryAfterMillis, detail), needsConfirmation));
    }

    /**
     * A refusal, and whether it holds only if the configuration is the newest.
     *
     * @param needsConfirmation whether the configuration must be confirmed before the caller receives this refusal
     */
    private record Refused(Refusal refusal, boolean needsConfirmation) {
        Refusal whileUnconfirmed() {
            return needsConfirmation
                    ? new Refusal(
                            Reason.CONFIGURATION_UNCONFIRMED,
                            UNCONFIRMED_RETRY_AFTER_MILLIS,
                            refusal.reason().label() + ", " + refusal.detail())
                    : refusal;
        }
    }
}
