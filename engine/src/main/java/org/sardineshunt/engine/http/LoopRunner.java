package org.sardineshunt.engine.http;

import io.netty.channel.EventLoop;

/**
 * Runs actions on an event loop, at once if the caller runs there already: an eviction must free its memory before the
 * bytes that need it are buffered.
 *
 * @param loop event loop that runs the actions
 */
record LoopRunner(EventLoop loop) {
    void run(Runnable action) {
        if (loop.inEventLoop()) {
            action.run();
        } else {
            loop.execute(action);
        }
    }

    /** Returns the time on the clock of all holders of memory. */
    static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }
}
