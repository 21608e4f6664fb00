package org.sardineshunt.engine;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.sardineshunt.coordination.TimerService;

/** The thread that owns all state of an engine, and the timers on it. Thread-safe. */
public final class ControlEventLoop implements TimerService, Executor {
    private final EventLoop loop;
    private final EventLog log;

    /** Runs tasks on an event loop. */
    public ControlEventLoop(EventLoop loop, EventLog log) {
        this.loop = loop;
        this.log = log;
    }

    @Override
    public long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public Timer every(long periodMillis, Runnable action) {
        ScheduledFuture<?> future =
                loop.scheduleWithFixedDelay(loggingFailures(action), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public Timer after(long delayMillis, Runnable action) {
        ScheduledFuture<?> future =
                loop.schedule(loggingFailures(action), Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void execute(Runnable action) {
        loop.execute(loggingFailures(action));
    }

    private Runnable loggingFailures(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException failure) {
                log.event("internal-error")
                        .with("failure", failure.toString())
                        .with("at", failure.getStackTrace().length > 0 ? failure.getStackTrace()[0].toString() : "")
                        .write();
            }
        };
    }
}
