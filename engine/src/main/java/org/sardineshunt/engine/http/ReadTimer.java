package org.sardineshunt.engine.http;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.Channel;

/**
 * Limits the time that a peer has for sending something. Time during which this process doesn't read counts for the
 * peer: after a pause of the process, or while reading is stopped, the timer runs on. Confined to the event loop.
 */
final class ReadTimer {
    // A timer that is later than this follows a pause of the process, after which waiting bytes are read first.
    private static final long PAUSE_MILLIS = 300;
    private static final long RECHECK_MILLIS = 1_000;

    private final Channel channel;
    private final Runnable onTimeout;
    private ScheduledFuture<?> scheduled;

    ReadTimer(Channel channel, Runnable onTimeout) {
        this.channel = channel;
        this.onTimeout = onTimeout;
    }

    /**
     * Starts the timer unless it is running.
     *
     * @param timeoutMillis supplies the time until the timeout; called only if the timer isn't running
     */
    void startIfStopped(LongSupplier timeoutMillis) {
        if (scheduled == null) {
            schedule(Math.max(1, timeoutMillis.getAsLong()));
        }
    }

    void stop() {
        if (scheduled != null) {
            scheduled.cancel(false);
            scheduled = null;
        }
    }

    private void schedule(long delayMillis) {
        long dueNanos = System.nanoTime() + delayMillis * 1_000_000;
        scheduled = channel.eventLoop().schedule(() -> expire(dueNanos), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void expire(long dueNanos) {
        boolean paused = System.nanoTime() - dueNanos > PAUSE_MILLIS * 1_000_000;
        if (paused || !channel.config().isAutoRead()) {
            schedule(RECHECK_MILLIS);
            return;
        }
        scheduled = null;
        onTimeout.run();
    }
}
