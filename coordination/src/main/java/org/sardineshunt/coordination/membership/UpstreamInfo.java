package org.sardineshunt.coordination.membership;

import java.util.List;

import org.sardineshunt.coordination.rotation.HealthCondition;

/**
 * What every node knows of an upstream of another node.
 *
 * @param id unique within the fleet
 * @param service the service that it serves
 * @param slots requests it can run at once
 * @param condition its health
 * @param severity how bad an unhealthy upstream is
 * @param intentIds intents in force that select it
 * @param leaving whether it announced that it stops
 */
public record UpstreamInfo(
        String id,
        String service,
        int slots,
        HealthCondition condition,
        int severity,
        List<String> intentIds,
        boolean leaving) {
    /** Copies the list. */
    public UpstreamInfo {
        intentIds = List.copyOf(intentIds);
    }
}
