package org.sardineshunt.engine;

import java.util.Optional;
import java.util.stream.Stream;

/**
 * Names of the HTTP headers that the engine reads and sets. Immutable and thread-safe.
 *
 * @param requestId ID of the caller's request; upstreams copy it to their responses
 * @param timeLeft time until the caller stops waiting, in milliseconds
 * @param expectedUpstream ID of the upstream that the request is meant for; any other upstream refuses it
 * @param callerService service of the upstream that is local to the request's entry
 * @param notRun present if an upstream refused the request without running it
 * @param signature proves that a response comes from an upstream
 * @param accountKey carries the key of the caller's client account
 * @param accountName name of the client account that the key belongs to
 * @param parentIdSeparator text between the ID of a running request and the rest of the ID of a call that it makes;
 *     empty if IDs don't contain the ID of the parent request
 */
public record RequestHeaders(
        String requestId,
        String timeLeft,
        String expectedUpstream,
        String callerService,
        String notRun,
        String signature,
        String accountKey,
        String accountName,
        String parentIdSeparator) {
    /** Returns the ID of the request that makes a call, given the call's own ID; empty if it contains none. */
    public Optional<String> parentRequestId(String requestId) {
        int end = parentIdSeparator.isEmpty() ? -1 : requestId.lastIndexOf(parentIdSeparator);
        return end > 0 ? Optional.of(requestId.substring(0, end)) : Optional.empty();
    }

    /** Returns whether the engine replaces a caller's header of this name, in upper or lower case, by its own. */
    public boolean isSetByEngine(String name) {
        return Stream.of(timeLeft, expectedUpstream, callerService, accountName).anyMatch(name::equalsIgnoreCase);
    }
}
