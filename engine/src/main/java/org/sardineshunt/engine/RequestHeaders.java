package org.sardineshunt.engine;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Names of the header fields that the engine reads and sets. Immutable and thread-safe.
 *
 * @param requestId names the caller's request; upstreams repeat it in their answers
 * @param timeLeft milliseconds for which the caller will wait
 * @param expectedUpstream upstream that is meant; another one refuses the request
 * @param callerService service beside which the request began
 * @param notRun set by an upstream that refused a request without running it
 * @param signature proves that an answer comes from an upstream
 * @param parentIdSeparator in the id of a call that a running request makes, ends the part that names that request; empty
 *     where ids don't tell
 */
public record RequestHeaders(
        String requestId,
        String timeLeft,
        String expectedUpstream,
        String callerService,
        String notRun,
        String signature,
        String parentIdSeparator) {
    /** Returns the id of the request that made a call; empty if the id names none. */
    public Optional<String> parentRequestId(String requestId) {
        int end = parentIdSeparator.isEmpty() ? -1 : requestId.lastIndexOf(parentIdSeparator);
        return end > 0 ? Optional.of(requestId.substring(0, end)) : Optional.empty();
    }

    /** Returns whether a field from a caller is replaced by the engine's own. */
    public boolean isSetByEngine(String name) {
        return Set.of(timeLeft, expectedUpstream, callerService).stream()
                .anyMatch(headerName -> headerName.toLowerCase(Locale.ROOT).equals(name.toLowerCase(Locale.ROOT)));
    }
}
