package org.sardineshunt.engine.http;

import io.netty.handler.codec.http.HttpRequest;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.coordination.memory.MemoryBudget.Kind;

/** Memory of a request at its entry, from its head until its response. Confined to the connection's event loop. */
final class RequestMemory {
    // Includes its state at entry and home and its log lines: 17,000 pipelined requests, counted with 1 KiB each,
    // filled a
    // heap of 64 MB.
    private static final int BYTES_PER_REQUEST = 4_096;
    private static final int BYTES_PER_HEADER = 200;

    private final MemoryBudget.Holder holder;
    private final long headBytes;
    private Runnable evictionAction;

    /**
     * Creates memory of which nothing is reserved yet.
     *
     * @param runner runs an action on the event loop
     * @param evictionAction refuses the request
     */
    RequestMemory(MemoryBudget budget, HttpRequest head, LoopRunner runner, Runnable evictionAction) {
        this.evictionAction = evictionAction;
        headBytes = headBytes(head);
        holder = budget.open(Kind.REQUEST, LoopRunner.nowMillis(), () -> runner.run(() -> this.evictionAction.run()));
    }

    private RequestMemory() {
        headBytes = 0;
        holder = MemoryBudget.unlimited().open(Kind.REQUEST, LoopRunner.nowMillis(), () -> {});
    }

    /** Returns the memory of a request that was not received. */
    static RequestMemory none() {
        return new RequestMemory();
    }

    /** Reserves memory for a part of the body, with the first part also that of the head. */
    boolean tryReserve(int bytes) {
        long now = LoopRunner.nowMillis();
        holder.recordProgress(now);
        return holder.tryReserve(now, holder.reservedBytes() == 0 ? headBytes + bytes : bytes);
    }

    /**
     * Records that the request is complete.
     *
     * @param releasedBytes bytes of parts that are no longer used
     * @param newEvictionAction refuses the request from now on
     */
    void complete(int releasedBytes, Runnable newEvictionAction) {
        evictionAction = newEvictionAction;
        holder.release(LoopRunner.nowMillis(), releasedBytes);
        holder.markReceived();
    }

    void close() {
        holder.close();
    }

    private static long headBytes(HttpRequest head) {
        long bytes = BYTES_PER_REQUEST + head.uri().length();
        for (var header : head.headers()) {
            bytes += BYTES_PER_HEADER
                    + header.getKey().length()
                    + header.getValue().length();
        }
        return bytes;
    }
}
