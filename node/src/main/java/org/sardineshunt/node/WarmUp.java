package org.sardineshunt.node;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.sardineshunt.node.backendserver.Announcement;
import org.sardineshunt.node.backendserver.BackendServerClient;
import org.sardineshunt.node.caller.CallerService;
import org.sardineshunt.protocol.PeerMessages.RequestContent;

/**
 * Exercises the request path of a starting node, so that its first callers don't wait for class loading and
 * compilation. Thread-safe.
 */
final class WarmUp {
    private static final int ROUNDS = 150;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;

    private final BackendServerClient client;
    private final String host;

    WarmUp(BackendServerClient client, String host) {
        this.client = client;
        this.host = host;
    }

    /**
     * Calls the node's own caller and operator ports over HTTP and its own peer port, in rounds one after the other.
     *
     * @param peerCall makes one call to the peer port
     * @return completes normally when all calls have ended, also if some failed
     */
    CompletableFuture<Void> run(int callerPort, int operatorPort, Supplier<CompletionStage<?>> peerCall) {
        CompletableFuture<Void> rounds = CompletableFuture.completedFuture(null);
        for (int round = 0; round < ROUNDS; round++) {
            rounds = rounds.thenCompose(done -> runRound(callerPort, operatorPort, peerCall));
        }
        return rounds;
    }

    private CompletableFuture<Void> runRound(int callerPort, int operatorPort, Supplier<CompletionStage<?>> peerCall) {
        CompletableFuture<?>[] calls = Stream.of(
                        call(callerPort, CallerService.WARM_UP_PATH),
                        call(operatorPort, "/health"),
                        peerCall.get().toCompletableFuture())
                .map(call -> call.handle((result, failure) -> null))
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(calls);
    }

    private CompletableFuture<?> call(int port, String path) {
        Announcement ownAnnouncement = new Announcement("warm-up", "warm-up", host, port, 1, "ready", Map.of());
        RequestContent content = RequestContent.newBuilder()
                .setRequestId("warm-up")
                .setMethod("GET")
                .setTarget(path)
                .build();
        return client.call(ownAnnouncement, content, CALL_TIMEOUT_MILLIS);
    }
}
