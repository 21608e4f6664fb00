package org.sardineshunt.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;

/** Sends the requests of a plan in an open loop: at their planned times, whether or not earlier ones were answered. */
final class LoadRunner {
    private static final long PROGRESS_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);
    // Longer than the 33 s in which LoadClient ends a request: 4 sends of at most 8 s and the delays of the repeats.
    private static final long LAST_ANSWERS_TIMEOUT_SECONDS = 45;

    private final LoadClient client;
    private final String workIdPrefix;
    private final LongConsumer onProgress;

    /**
     * Creates a runner.
     *
     * @param workIdPrefix prefix that makes work ids differ from those of other runs
     * @param onProgress called about every 2 s with the number of requests sent so far
     */
    LoadRunner(LoadClient client, String workIdPrefix, LongConsumer onProgress) {
        this.client = client;
        this.workIdPrefix = workIdPrefix;
        this.onProgress = onProgress;
    }

    /**
     * Sends all requests of a plan and waits until they have ended.
     *
     * @return the results in the order of the planned times
     * @throws java.util.concurrent.CompletionException if a request doesn't end within 45 s after the last send
     */
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
