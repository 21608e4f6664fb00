package org.sardineshunt.node.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.RendezvousHashing;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.idempotency.Ticket;
import org.sardineshunt.coordination.idempotency.TicketRegistry;
import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.node.Answers;
import org.sardineshunt.node.ControlThread;
import org.sardineshunt.node.peer.LinkFailure;
import org.sardineshunt.node.peer.PeerClient;
import org.sardineshunt.node.platform.ClaimStore;
import org.sardineshunt.protocol.PeerMessages.Answer;
import org.sardineshunt.protocol.PeerMessages.Envelope;
import org.sardineshunt.protocol.PeerMessages.Handover;
import org.sardineshunt.protocol.PeerMessages.HandoverEntry;
import org.sardineshunt.protocol.PeerMessages.KeyedRequest;
import org.sardineshunt.protocol.PeerMessages.RequestContent;

/**
 * Runs keyed requests at most once. Confined to the control thread.
 *
 * <p>Every key maps to one ticket, and every ticket has one authority that runs its request: the incarnation of a node
 * that issued it, or the node that this incarnation handed its outcomes over to. When the authority can't be asked, the
 * answer is that the request may have run.
 */
final class KeyService {
    private static final long OUTCOME_RETENTION_MILLIS = 600_000;

    // The authority may answer after the deadline, when it has to ask what became of an attempt whose reply was lost.
    private static final long AUTHORITY_REPLY_MARGIN_MILLIS = 3_000;

    private static final long HANDOVER_TIMEOUT_MILLIS = 2_000;

    // An answer with a longer body is not kept; a repeat of its request is told that it may have run.
    private static final int MAXIMUM_KEPT_BODY_BYTES = 64 << 10;

    // A successor may have stopped as well and have a successor itself; this bounds the steps that are followed.
    private static final int MAXIMUM_SUCCESSOR_STEPS = 16;

    private final ControlThread control;
    private final PeerClient peers;
    private final Dispatcher dispatcher;
    private final ClaimStore claimStore;
    private final int capacity;
    private final TicketRegistry<Answer> ownRegistry;
    private final Map<String, TicketRegistry<Answer>> receivedRegistries = new HashMap<>();
    private final Map<String, CompletableFuture<Answer>> runningRequests = new HashMap<>();
    private boolean handingOver;

    KeyService(ControlThread control, PeerClient peers, Dispatcher dispatcher, ClaimStore claimStore, int capacity) {
        this.control = control;
        this.peers = peers;
        this.dispatcher = dispatcher;
        this.claimStore = claimStore;
        this.capacity = capacity;
        this.ownRegistry =
                new TicketRegistry<>(peers.selfId(), peers.self().incarnation(), capacity, OUTCOME_RETENTION_MILLIS);
    }

    /** Returns a new ticket, for which this node is the authority. */
    Ticket issueTicket() {
        return ownRegistry.issue();
    }

    /**
     * Runs a request under its key, at the authority of the key's ticket.
     *
     * @param scope service and client account, between which keys are independent
     * @param key a ticket, or a key that the caller chose, which is claimed for a new ticket if it has none yet
     */
    CompletableFuture<Answer> run(String scope, String key, RequestContent content) {
        return Ticket.parse(key).map(ticket -> runAtAuthority(ticket, content)).getOrElse(() -> claimStore
                .claim(scope + '/' + key, ownRegistry::issue)
                .thenCompose(claimed -> claimed.fold(
                        reason -> CompletableFuture.completedFuture(Answers.failure(
                                Verdict.MAY_HAVE_RUN, reason, "it can't be known whether this key was used before")),
                        ticket -> runAtAuthority(ticket, content))));
    }

    /** Runs a request whose ticket this node is the authority for, or refuses it if it is not. */
    CompletableFuture<Answer> runAsAuthority(KeyedRequest request) {
        return Ticket.parse(request.getTicket())
                .map(ticket -> runAsAuthority(ticket, request.getContent()))
                .getOrElse(() -> CompletableFuture.completedFuture(
                        Answers.failure(Verdict.NOT_RUN, Reason.TICKET_UNKNOWN, "the key is not a ticket")));
    }

    /** Takes over the outcomes of a node that stops; returns true. */
    boolean receiveHandover(Handover handover) {
        List<TicketRegistry.Outcome<Answer>> outcomes = handover.getEntriesList().stream()
                .map(entry -> new TicketRegistry.Outcome<>(
                        entry.getSequence(),
                        entry.getFingerprint(),
                        TicketRegistry.State.values()[entry.getState()],
                        entry.hasAnswer() ? entry.getAnswer() : null))
                .toList();
        TicketRegistry.Handover<Answer> received = new TicketRegistry.Handover<>(
                handover.getNodeId(),
                handover.getIncarnation(),
                handover.getLastIssued(),
                handover.getEvictedThrough(),
                outcomes);
        receivedRegistries.put(
                registryKey(handover.getNodeId(), handover.getIncarnation()),
                TicketRegistry.fromHandover(control.nowMillis(), received, capacity, OUTCOME_RETENTION_MILLIS));
        return true;
    }

    /**
     * Refuses keyed requests from now on and hands all outcomes over to another node.
     *
     * @return completes with the successor's id, or an empty text if there is none
     */
    CompletableFuture<String> handOver() {
        handingOver = true;
        Optional<Member> successor = successor();
        if (successor.isEmpty()) {
            return CompletableFuture.completedFuture("");
        }
        List<CompletableFuture<Boolean>> confirmations = java.util.stream.Stream.concat(
                        java.util.stream.Stream.of(ownRegistry), receivedRegistries.values().stream())
                .map(registry -> sendHandover(successor.get(), registry.handover()))
                .toList();
        return CompletableFuture.allOf(confirmations.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> successor.get().nodeId());
    }

    private CompletableFuture<Boolean> sendHandover(Member successor, TicketRegistry.Handover<Answer> handover) {
        Handover.Builder message = Handover.newBuilder()
                .setNodeId(handover.nodeId())
                .setIncarnation(handover.incarnation())
                .setLastIssued(handover.lastIssued())
                .setEvictedThrough(handover.evictedThrough());
        handover.outcomes().forEach(outcome -> message.addEntries(toHandoverEntry(outcome)));
        return peers.call(successor, Envelope.newBuilder().setHandover(message).build(), HANDOVER_TIMEOUT_MILLIS)
                .thenApply(
                        result -> result.exists(reply -> reply.getConfirmation().getAccepted()));
    }

    private static HandoverEntry toHandoverEntry(TicketRegistry.Outcome<Answer> outcome) {
        HandoverEntry.Builder entry = HandoverEntry.newBuilder()
                .setSequence(outcome.sequence())
                .setFingerprint(outcome.fingerprint())
                .setState(outcome.state().ordinal());
        if (outcome.answer() != null) {
            entry.setAnswer(outcome.answer());
        }
        return entry.build();
    }

    private Optional<Member> successor() {
        List<Member> others = peers.table()
                .reachable()
                .filter(member -> !member.nodeId().equals(peers.selfId()))
                .toList();
        List<String> sameDataCentre = others.stream()
                .filter(member -> member.location()
                        .dataCentre()
                        .equals(peers.self().location().dataCentre()))
                .map(Member::nodeId)
                .toList();
        List<String> candidateIds =
                sameDataCentre.isEmpty() ? others.stream().map(Member::nodeId).toList() : sameDataCentre;
        return RendezvousHashing.choose("successor/" + peers.selfId(), candidateIds, 1).stream()
                .findFirst()
                .flatMap(peers.table()::find);
    }

    private CompletableFuture<Answer> runAtAuthority(Ticket ticket, RequestContent content) {
        if (registry(ticket) != null) {
            return runAsAuthority(ticket, content);
        }
        Optional<Member> authority = authority(ticket);
        if (authority.isEmpty()) {
            return outcomeUnknown("the node that issued the ticket is gone");
        }
        Envelope message = Envelope.newBuilder()
                .setKeyedRequest(
                        KeyedRequest.newBuilder().setTicket(ticket.text()).setContent(content))
                .build();
        return peers.call(authority.get(), message, content.getDeadlineLeftMillis() + AUTHORITY_REPLY_MARGIN_MILLIS)
                .thenApply(result -> result.fold(KeyService::authorityUnreachable, Envelope::getAnswer));
    }

    private static Answer authorityUnreachable(LinkFailure failure) {
        // May have run even if nothing was sent now: an earlier request with the same ticket may have run.
        return Answers.failure(Verdict.MAY_HAVE_RUN, Reason.KEY_AUTHORITY_UNREACHABLE, failure.getMessage());
    }

    private Optional<Member> authority(Ticket ticket) {
        Optional<Member> member = peers.table().find(ticket.nodeId());
        // The record of a restarted node no longer tells where the outcomes of its earlier incarnation are.
        boolean restarted = member.isPresent() && member.get().incarnation() != ticket.incarnation();
        if (restarted) {
            return Optional.empty();
        }
        for (int steps = 0; steps < MAXIMUM_SUCCESSOR_STEPS && member.isPresent(); steps++) {
            if (member.get().state() != Member.State.LEFT) {
                return member;
            }
            member = peers.table().find(member.get().successor());
        }
        return Optional.empty();
    }

    private TicketRegistry<Answer> registry(Ticket ticket) {
        boolean issuedHere = ticket.nodeId().equals(peers.selfId())
                && ticket.incarnation() == peers.self().incarnation();
        return issuedHere ? ownRegistry : receivedRegistries.get(registryKey(ticket.nodeId(), ticket.incarnation()));
    }

    private CompletableFuture<Answer> runAsAuthority(Ticket ticket, RequestContent content) {
        TicketRegistry<Answer> registry = registry(ticket);
        if (registry == null) {
            return outcomeUnknown("this node doesn't hold the outcomes of " + ticket.nodeId());
        }
        if (handingOver) {
            return CompletableFuture.completedFuture(Answers.failure(
                    Verdict.MAY_HAVE_RUN, Reason.KEY_AUTHORITY_UNREACHABLE, "this node is handing its outcomes over"));
        }
        TicketRegistry.Decision<Answer> decision =
                registry.begin(control.nowMillis(), ticket, content.getFingerprint());
        return switch (decision.kind()) {
            case START -> startRequest(registry, ticket, content);
            case AWAIT -> runningRequests.getOrDefault(
                    ticket.text(), outcomeUnknown("the request is running, but its end can't be awaited here"));
            case REPLAY -> CompletableFuture.completedFuture(decision.answer().get());
            case REFUSE -> CompletableFuture.completedFuture(
                    Answers.failure(decision.verdict(), decision.reason(), "refused by its ticket " + ticket.text()));
        };
    }

    private CompletableFuture<Answer> startRequest(
            TicketRegistry<Answer> registry, Ticket ticket, RequestContent content) {
        CompletableFuture<Answer> result = new CompletableFuture<>();
        runningRequests.put(ticket.text(), result);
        dispatcher.dispatch(content).thenAccept(answer -> {
            runningRequests.remove(ticket.text());
            boolean keepAnswer = answer.getBody().size() <= MAXIMUM_KEPT_BODY_BYTES;
            Verdict verdict = Answers.verdict(answer);
            Verdict keptVerdict = verdict == Verdict.RAN && !keepAnswer ? Verdict.MAY_HAVE_RUN : verdict;
            registry.finish(control.nowMillis(), ticket, keptVerdict, keepAnswer ? answer : null);
            result.complete(answer);
        });
        return result;
    }

    private static CompletableFuture<Answer> outcomeUnknown(String detail) {
        return CompletableFuture.completedFuture(
                Answers.failure(Verdict.MAY_HAVE_RUN, Reason.KEY_OUTCOME_UNKNOWN, detail));
    }

    private static String registryKey(String nodeId, long incarnation) {
        return nodeId + '/' + incarnation;
    }
}
