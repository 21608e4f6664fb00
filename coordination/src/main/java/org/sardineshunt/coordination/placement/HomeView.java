package org.sardineshunt.coordination.placement;

import org.sardineshunt.coordination.rotation.HealthCondition;

/**
 * What an entry knows of one home of a service. Immutable and thread-safe.
 *
 * @param nodeId name of the home
 * @param near whether it is in the entry's data centre
 * @param slots requests that its upstream runs at once
 * @param outstandingRequests requests that run or wait there, including those that the entry sent since the last report
 * @param expectedWaitMillis expected wait for a slot
 * @param meanServiceMillis mean time that a request takes there; 0 when unknown
 * @param condition health of its upstream
 * @param failing whether an unhealthy upstream fails requests, rather than being slow
 * @param avoided whether other homes are preferred because this one recently failed or refused work
 */
public record HomeView(
        String nodeId,
        boolean near,
        int slots,
        int outstandingRequests,
        double expectedWaitMillis,
        double meanServiceMillis,
        HealthCondition condition,
        boolean failing,
        boolean avoided) {}
