package org.sardineshunt.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;

/** Sends the requests of a plan at their times, whatever became of earlier ones. */
final class LoadRunner {
    private static final long PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long LAST_ANSWERS_SECONDS = 45;

    private final LoadClient client;
    private final String idPrefix;
    private final LongConsumer onProgress;

    /**
     * Creates a runner.
     *
     * @param idPrefix makes work ids unique between runs
     * @param onProgress called now and then with the number of requests sent
     */
    LoadRunner(LoadClient client, String idPrefix, LongConsumer onProgress) {
        this.client = client;
        this.idPrefix = idPrefix;
        this.onProgress = onProgress;
    }

    /** Runs a plan and returns all results. */
    List<RequestResult> run(LoadPlan plan) {
        long start = System.nanoTime();
        long progressAt = start + PROGRESS_NANOS;
        List<CompletableFuture<RequestResult>> running = new ArrayList<>();
        for (LoadPlan.Arrival arrival : plan.arrivals()) {
            waitUntil(start + (long) (arrival.atMillis() * 1e6));
            running.add(client.run(arrival, idPrefix + '-' + running.size(), start));
            if (System.nanoTime() > progressAt) {
                progressAt += PROGRESS_NANOS;
                onProgress.accept(running.size());
            }
        }
        CompletableFuture.allOf(running.toArray(new CompletableFuture<?>[0]))
                .orTimeout(LAST_ANSWERS_SECONDS, TimeUnit.SECONDS)
                .join();
        return running.stream().map(CompletableFuture::join).toList();
    }

    private static void waitUntil(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = nanos - System.nanoTime();
        }
    }
}
