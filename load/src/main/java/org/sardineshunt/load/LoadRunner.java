package org.sardineshunt.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;

/** Sends the requests of a plan at their times, whatever became of earlier ones. */
final class LoadRunner {
    private static final long PROGRESS_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long LAST_ANSWERS_TIMEOUT_SECONDS = 45;

    private final LoadClient client;
    private final String workIdPrefix;
    private final LongConsumer onProgress;

    /**
     * Creates a runner.
     *
     * @param workIdPrefix makes work ids unique between runs
     * @param onProgress called now and then with the number of requests sent
     */
    LoadRunner(LoadClient client, String workIdPrefix, LongConsumer onProgress) {
        this.client = client;
        this.workIdPrefix = workIdPrefix;
        this.onProgress = onProgress;
    }

    /** Runs a plan and returns all results. */
    List<RequestResult> run(LoadPlan plan) {
        long startNanos = System.nanoTime();
        long nextProgressNanos = startNanos + PROGRESS_PERIOD_NANOS;
        List<CompletableFuture<RequestResult>> pendingResults = new ArrayList<>();
        for (LoadPlan.Arrival arrival : plan.arrivals()) {
            waitUntil(startNanos + (long) (arrival.atMillis() * 1e6));
            pendingResults.add(client.run(arrival, workIdPrefix + '-' + pendingResults.size(), startNanos));
            if (System.nanoTime() > nextProgressNanos) {
                nextProgressNanos += PROGRESS_PERIOD_NANOS;
                onProgress.accept(pendingResults.size());
            }
        }
        CompletableFuture.allOf(pendingResults.toArray(new CompletableFuture<?>[0]))
                .orTimeout(LAST_ANSWERS_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
        return pendingResults.stream().map(CompletableFuture::join).toList();
    }

    private static void waitUntil(long timeNanos) {
        long remainingNanos = timeNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = timeNanos - System.nanoTime();
        }
    }
}
