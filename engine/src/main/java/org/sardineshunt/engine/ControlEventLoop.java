package org.sardineshunt.engine;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.account.ClockReading;

/**
 * The event loop whose one thread, the control thread, owns all state of an engine, with its clock and timers. Logs the
 * exceptions and errors that actions throw, none of which ends it. Thread-safe.
 */
public final class ControlEventLoop implements TimerService, Executor {
    private final EventLoop loop;
    private final EventLog log;

    /**
     * Creates a wrapper of an event loop.
     *
     * @param loop runs all actions
     * @param log receives the exceptions that actions throw
     */
    public ControlEventLoop(EventLoop loop, EventLog log) {
        this.loop = loop;
        this.log = log;
    }

    @Override
    public long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Returns the current time of the monotonic and of the wall clock. */
    public ClockReading clock() {
        return new ClockReading(nowMillis(), System.currentTimeMillis());
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

    // Without this, an exception or a stack overflow would end a periodic action unnoticed.
    private Runnable loggingFailures(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException | Error failure) {
                log.event("internal-error")
                        .with("failure", failure.toString())
                        .with("at", failure.getStackTrace().length > 0 ? failure.getStackTrace()[0].toString() : "")
                        .write();
            }
        };
    }
}
