package org.sardineshunt.node.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.sardineshunt.node.ControlThread;
import org.sardineshunt.protocol.PeerMessages.Abandon;
import org.sardineshunt.protocol.PeerMessages.AbandonReply;
import org.sardineshunt.protocol.PeerMessages.Answer;
import org.sardineshunt.protocol.PeerMessages.Attempt;
import org.sardineshunt.protocol.PeerMessages.Confirmation;
import org.sardineshunt.protocol.PeerMessages.Envelope;
import org.sardineshunt.protocol.PeerMessages.Handover;
import org.sardineshunt.protocol.PeerMessages.HealthBaseline;
import org.sardineshunt.protocol.PeerMessages.HealthReport;
import org.sardineshunt.protocol.PeerMessages.KeyedRequest;

/** Dispatches requests of other nodes to their handlers on the control thread. Thread-safe. */
public final class PeerRequestDispatcher implements PeerServer.RequestHandler {
    private final ControlThread control;
    private final MembershipService membership;
    private final Handlers handlers;

    /** Creates a dispatcher. */
    public PeerRequestDispatcher(ControlThread control, MembershipService membership, Handlers handlers) {
        this.control = control;
        this.membership = membership;
        this.handlers = handlers;
    }

    @Override
    public CompletionStage<Envelope.Builder> handle(String remoteNodeId, Envelope request) {
        CompletableFuture<Envelope.Builder> result = new CompletableFuture<>();
        control.execute(() -> answer(remoteNodeId, request).thenAccept(result::complete));
        return result;
    }

    private CompletionStage<Envelope.Builder> answer(String remoteNodeId, Envelope request) {
        return switch (request.getBodyCase()) {
            case ATTEMPT -> handlers.attempt().apply(request.getAttempt()).thenApply(answer -> Envelope.newBuilder()
                    .setAnswer(answer));
            case KEYED_REQUEST -> handlers.keyedRequest()
                    .apply(request.getKeyedRequest())
                    .thenApply(answer -> Envelope.newBuilder().setAnswer(answer));
            case ABANDON -> completed(
                    Envelope.newBuilder().setAbandonReply(handlers.abandon().apply(request.getAbandon())));
            case PING -> completed(membership.answerPing(remoteNodeId, request.getPing()));
            case INDIRECT_PING -> membership.answerIndirectPing(request.getIndirectPing());
            case SYNC_REQUEST -> completed(membership.answerSync(remoteNodeId, request.getSyncRequest()));
            case HEALTH_REPORT -> completed(Envelope.newBuilder()
                    .setHealthBaseline(handlers.healthReport().apply(request.getHealthReport())));
            case HANDOVER -> completed(Envelope.newBuilder()
                    .setConfirmation(Confirmation.newBuilder()
                            .setAccepted(handlers.handover().apply(request.getHandover()))));
            default -> completed(Envelope.newBuilder().setConfirmation(Confirmation.getDefaultInstance()));
        };
    }

    private static CompletionStage<Envelope.Builder> completed(Envelope.Builder reply) {
        return CompletableFuture.completedFuture(reply);
    }

    /**
     * Handlers by type of request, all called on the control thread.
     *
     * @param attempt runs an attempt of which this node is the home
     * @param abandon abandons an attempt
     * @param keyedRequest runs a request whose ticket this node is responsible for
     * @param healthReport records health samples and returns the baselines of their services
     * @param handover takes over the request outcomes of a stopping node; returns whether it accepts them
     */
    public record Handlers(
            Function<Attempt, CompletableFuture<Answer>> attempt,
            Function<Abandon, AbandonReply> abandon,
            Function<KeyedRequest, CompletableFuture<Answer>> keyedRequest,
            Function<HealthReport, HealthBaseline> healthReport,
            Function<Handover, Boolean> handover) {}
}
