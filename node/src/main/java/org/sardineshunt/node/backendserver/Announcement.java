package org.sardineshunt.node.backendserver;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * What a backend server says of itself, repeated as a heartbeat. Immutable.
 *
 * @param id unique name of the upstream
 * @param service service that it serves
 * @param host IP number that its home node calls
 * @param port port that its home node calls
 * @param slots requests it can run at once
 * @param state {@code starting}, {@code ready} or {@code leaving}
 * @param labels labels that operators select by
 */
public record Announcement(
        String id, String service, String host, int port, int slots, String state, Map<String, String> labels) {
    private static final Set<String> STATES = Set.of("starting", "ready", "leaving");
    private static final Set<String> RESERVED_LABELS = Set.of("service", "upstream", "node", "data-centre", "region");

    /** Checks the values. */
    public Announcement {
        require(id != null && id.matches("[A-Za-z0-9_-]{1,64}"), "id", id, "letters, digits, - and _");
        require(service != null && service.matches("[A-Za-z0-9_-]{1,64}"), "service", service, "a service name");
        require(host != null && !host.isBlank(), "host", host, "an IP number");
        require(port > 0 && port < 65_536, "port", port, "1 to 65535");
        require(slots > 0 && slots <= 10_000, "slots", slots, "1 to 10000");
        require(STATES.contains(String.valueOf(state)), "state", state, String.join(", ", STATES));
        labels = Map.copyOf(Objects.requireNonNullElse(labels, Map.of()));
        labels.keySet()
                .forEach(label -> require(!RESERVED_LABELS.contains(label), "labels", label, "no reserved label"));
    }

    /** Returns whether the upstream announced that it stops. */
    public boolean leaving() {
        return state.equals("leaving");
    }

    /** Returns whether the upstream takes work. */
    public boolean ready() {
        return state.equals("ready");
    }

    private static void require(boolean valid, String key, Object value, String allowed) {
        if (!valid) {
            throw new IllegalArgumentException(key + ": '" + value + "' is not allowed; allowed: " + allowed);
        }
    }
}
