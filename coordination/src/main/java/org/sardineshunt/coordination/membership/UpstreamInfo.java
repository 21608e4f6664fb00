package org.sardineshunt.coordination.membership;

import java.util.List;

import org.sardineshunt.coordination.rotation.HealthCondition;

/**
 * Summary of an upstream that its home publishes to all nodes. Immutable and thread-safe.
 *
 * @param id unique id within the fleet
 * @param service name of the service that it serves
 * @param slots number of requests that it runs concurrently; 0 while it starts
 * @param condition condition by its health check
 * @param severity how unhealthy it is; 0 for a healthy one
 * @param intentIds ids of the intents in force that select it
 * @param leaving whether it has announced that it leaves
 */
public record UpstreamInfo(
        String id,
        String service,
        int slots,
        HealthCondition condition,
        int severity,
        List<String> intentIds,
        boolean leaving) {
    /** Copies the list of intent ids. */
    public UpstreamInfo {
        intentIds = List.copyOf(intentIds);
    }
}
