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

/**
 * The single thread that owns a node's control state and runs its timers. Other threads pass their actions to it.
 * Thread-safe.
 *
 * <p>An exception that an action throws is logged; the thread and periodic timers go on.
 */
public final class ControlThread implements TimerService, Executor, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ControlThread.class);

    private final ScheduledThreadPoolExecutor executor;

    /** Creates the executor of the thread; the thread is named after the node. */
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

    /**
     * Runs a query on the control thread.
     *
     * @return completes with the result, or exceptionally if the query throws; never completes if the thread was closed
     *     before the query ran
     */
    public <T> CompletableFuture<T> submit(Supplier<T> query) {
        return CompletableFuture.supplyAsync(query, this::execute);
    }

    /** Stops the thread; pending actions and timers are dropped. */
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
