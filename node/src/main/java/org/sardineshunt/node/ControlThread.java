package org.sardineshunt.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.jboss.logging.Logger;
import org.sardineshunt.coordination.TimerService;

/** The one thread that owns all control state, and its timers. Thread-safe. */
public final class ControlThread implements TimerService, Executor, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ControlThread.class);

    private final ScheduledThreadPoolExecutor executor;

    /** Starts the thread. */
    public ControlThread(String nodeId) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "control-" + nodeId);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public Timer every(long periodMillis, Runnable action) {
        ScheduledFuture<?> future = executor.scheduleWithFixedDelay(
                withFailureLogging(action), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public Timer after(long delayMillis, Runnable action) {
        try {
            ScheduledFuture<?> future =
                    executor.schedule(withFailureLogging(action), delayMillis, TimeUnit.MILLISECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException stopped) {
            return () -> {};
        }
    }

    @Override
    public void execute(Runnable action) {
        try {
            executor.execute(withFailureLogging(action));
        } catch (RejectedExecutionException stopped) {
            LOG.debug("control thread is stopped; action dropped");
        }
    }

    /** Runs a query on the thread and returns its result. */
    public <T> CompletableFuture<T> submit(Supplier<T> query) {
        return CompletableFuture.supplyAsync(query, this::execute);
    }

    /** Stops the thread without running what waits. */
    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Runnable withFailureLogging(Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (RuntimeException failure) {
                LOG.error("action on the control thread failed", failure);
            }
        };
    }
}
