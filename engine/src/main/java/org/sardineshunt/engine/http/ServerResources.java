package org.sardineshunt.engine.http;

import java.util.function.IntConsumer;

import org.sardineshunt.coordination.memory.MemoryBudget;

/**
 * Resources that a server may use. Immutable and thread-safe.
 *
 * @param memory memory for requests and responses
 * @param maximumConnections connections that may be open at the same time; beyond that the one that has been idle longest
 *     is closed, or the new one if none is idle
 * @param connectionClosed called with the number of open connections for each connection that is closed because of this limit, on its event
 *     loop
 */
public record ServerResources(MemoryBudget memory, int maximumConnections, IntConsumer connectionClosed) {
    /** Returns resources that limit nothing. */
    public static ServerResources unlimited() {
        return new ServerResources(MemoryBudget.unlimited(), Integer.MAX_VALUE, openConnections -> {});
    }
}
