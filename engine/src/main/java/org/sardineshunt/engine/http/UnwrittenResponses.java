package org.sardineshunt.engine.http;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.coordination.memory.MemoryBudget.Kind;

/**
 * Counts the responses of a connection that its caller has not read yet, and closes the connection if their memory is
 * needed for others or if the caller has stopped reading. Confined to the event loop.
 */
final class UnwrittenResponses {
    // Written bytes are counted this often while the caller reads slowly.
    private static final long CHECK_MILLIS = 500;

    // A caller that reads nothing for this long has left, however long its connection stays open.
    private static final long STALL_MILLIS = 30_000;

    private final MemoryBudget budget;
    private final Channel channel;
    private MemoryBudget.Holder holder;
    private ScheduledFuture<?> nextCheck;
    private long waitingBytes;
    private long progressMillis;

    UnwrittenResponses(MemoryBudget budget, Channel channel) {
        this.budget = budget;
        this.channel = channel;
    }

    /** Adds a response that waits for earlier ones. */
    void addWaiting(HttpResponseData response) {
        waitingBytes += response.body().length;
    }

    /** Removes a response that no longer waits, because it was handed to the channel. */
    void removeWaiting(HttpResponseData response) {
        waitingBytes = Math.max(0, waitingBytes - response.body().length);
    }

    /** Reserves memory for the bytes that wait or that the operating system has not taken yet. */
    void update() {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        long unwritten =
                waitingBytes + (outbound == null ? 0 : outbound.totalPendingWriteBytes() - outbound.currentProgress());
        if (holder == null && unwritten == 0) {
            return;
        }
        long now = LoopRunner.nowMillis();
        if (holder == null) {
            LoopRunner runner = new LoopRunner(channel.eventLoop());
            holder = budget.open(Kind.CALLER_RESPONSE, now, () -> runner.run(channel::close));
            progressMillis = now;
        }
        reserve(now, unwritten);
    }

    /** Releases everything, because the connection is closed. */
    void close() {
        if (holder != null) {
            holder.close();
            holder = null;
        }
        if (nextCheck != null) {
            nextCheck.cancel(false);
        }
    }

    private void reserve(long now, long unwritten) {
        long added = unwritten - holder.reservedBytes();
        if (added < 0) {
            progressMillis = now;
            holder.release(now, -added);
        }
        boolean refused = added > 0 && !holder.tryReserve(now, added);
        if (refused || now - progressMillis > STALL_MILLIS) {
            channel.close();
        } else if (unwritten == 0) {
            holder.close();
            holder = null;
        } else if (nextCheck == null) {
            nextCheck = channel.eventLoop().schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        nextCheck = null;
        if (channel.isActive()) {
            update();
        }
    }
}
