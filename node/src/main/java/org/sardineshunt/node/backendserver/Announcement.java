package org.sardineshunt.node.backendserver;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * State that a backend server reports about itself to its home node, repeated as a heartbeat. Immutable and
 * thread-safe; its component names are the keys of the JSON body.
 *
 * @param id unique id of the upstream within the fleet
 * @param service name of the service that it serves
 * @param host IP address at which its home node calls it
 * @param port port at which its home node calls it
 * @param slots number of requests that it runs concurrently
 * @param state {@code starting}, {@code ready} or {@code leaving}
 * @param labels labels by which the selectors of intents select it; null means none
 */
public record Announcement(
        String id, String service, String host, int port, int slots, String state, Map<String, String> labels) {
    private static final Set<String> STATES = Set.of("starting", "ready", "leaving");
    /** Labels that the home node sets itself. */
    private static final Set<String> RESERVED_LABELS = Set.of("service", "upstream", "node", "data-centre", "region");

    /**
     * Validates the values and copies the labels.
     *
     * @throws IllegalArgumentException if a value is not allowed
     */
    public Announcement {
        require(id != null && id.matches("[A-Za-z0-9_-]{1,64}"), "id", id, "1 to 64 letters, digits, - and _");
        require(
                service != null && service.matches("[A-Za-z0-9_-]{1,64}"),
                "service",
                service,
                "1 to 64 letters, digits, - and _");
        require(host != null && !host.isBlank(), "host", host, "an IP address");
        require(port > 0 && port < 65_536, "port", port, "1 to 65535");
        require(slots > 0 && slots <= 10_000, "slots", slots, "1 to 10000");
        require(STATES.contains(String.valueOf(state)), "state", state, String.join(", ", STATES));
        labels = Map.copyOf(Objects.requireNonNullElse(labels, Map.of()));
        labels.keySet()
                .forEach(label -> require(
                        !RESERVED_LABELS.contains(label), "labels", label, "a label name that is not reserved"));
    }

    /** Returns whether the upstream has announced that it leaves. */
    public boolean leaving() {
        return state.equals("leaving");
    }

    /** Returns whether the upstream accepts work. */
    public boolean ready() {
        return state.equals("ready");
    }

    private static void require(boolean valid, String key, Object value, String allowed) {
        if (!valid) {
            throw new IllegalArgumentException(key + ": '" + value + "' is not allowed; allowed: " + allowed);
        }
    }
}
