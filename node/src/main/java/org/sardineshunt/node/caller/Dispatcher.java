package org.sardineshunt.node.caller;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.idempotency.AttemptId;
import org.sardineshunt.coordination.retry.RetryBudget;
import org.sardineshunt.coordination.retry.RetryPolicy;
import org.sardineshunt.node.Answers;
import org.sardineshunt.node.ControlThread;
import org.sardineshunt.node.FailureLog;
import org.sardineshunt.node.NodeMetrics;
import org.sardineshunt.node.backendserver.HomeService;
import org.sardineshunt.node.peer.CrashRegistry;
import org.sardineshunt.node.peer.LinkFailure;
import org.sardineshunt.node.peer.PeerClient;
import org.sardineshunt.protocol.PeerMessages.Abandon;
import org.sardineshunt.protocol.PeerMessages.AbandonReply;
import org.sardineshunt.protocol.PeerMessages.Answer;
import org.sardineshunt.protocol.PeerMessages.Attempt;
import org.sardineshunt.protocol.PeerMessages.Envelope;
import org.sardineshunt.protocol.PeerMessages.RequestContent;

/**
 * Sends a request to home nodes, one attempt after the other, until it is answered or must not be retried.
 * Confined to the control thread.
 *
 * <p>When the reply of an attempt is lost, the home is asked to abandon the attempt, over a new connection if the link
 * broke. It replies that the attempt will never run, that it still runs, or what its answer was.
 */
final class Dispatcher {
    private static final Logger LOG = Logger.getLogger(Dispatcher.class);

    // Retries per first attempt in the long run, so that retries add at most this share to an overload.
    private static final double RETRY_SHARE = 0.1;
    private static final double RETRY_BUDGET_CAPACITY = 10;

    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final long MINIMUM_TIME_LEFT_MILLIS = 5;

    // The home answers an attempt by its deadline at the latest; the answer needs some time to get here.
    private static final long REPLY_MARGIN_MILLIS = 100;

    private static final long ABANDON_TIMEOUT_MILLIS = 1_500;
    private static final long RUNNING_POLL_PERIOD_MILLIS = 100;
    private static final long CRASH_GOSSIP_DELAY_MILLIS = 200;

    private final ControlThread control;
    private final PeerClient peers;
    private final HomeService localHome;
    private final HomeSelector homeSelector;
    private final CrashRegistry crashes;
    private final NodeMetrics metrics;
    private final FailureLog failureLog;
    private final RetryPolicy retryPolicy = new RetryPolicy(MAXIMUM_ATTEMPTS, MINIMUM_TIME_LEFT_MILLIS);
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private long lastAttemptNumber;
    private int inFlight;

    Dispatcher(
            ControlThread control,
            PeerClient peers,
            HomeService localHome,
            HomeSelector homeSelector,
            CrashRegistry crashes,
            NodeMetrics metrics) {
        this.control = control;
        this.peers = peers;
        this.localHome = localHome;
        this.homeSelector = homeSelector;
        this.crashes = crashes;
        this.metrics = metrics;
        this.failureLog = new FailureLog(control);
    }

    /** Dispatches a request whose deadline starts to count now; the future never fails. */
    CompletableFuture<Answer> dispatch(RequestContent content) {
        long deadlineMillis = control.nowMillis() + content.getDeadlineLeftMillis();
        PendingRequest request = new PendingRequest(content, deadlineMillis);
        retryBudget(content).recordFirstAttempt();
        inFlight++;
        request.result.whenComplete((answer, failure) -> inFlight--);
        startAttempt(request);
        return request.result.thenCompose(
                answer -> request.upstreamCrashed ? afterCrashGossip(answer) : request.result);
    }

    // The caller may retry at once through another node; by then the gossip about the crash must have arrived there.
    private CompletableFuture<Answer> afterCrashGossip(Answer answer) {
        CompletableFuture<Answer> delayed = new CompletableFuture<>();
        control.after(CRASH_GOSSIP_DELAY_MILLIS, () -> delayed.complete(answer));
        return delayed;
    }

    /** Returns the number of requests that have not ended. */
    int inFlight() {
        return inFlight;
    }

    private void startAttempt(PendingRequest request) {
        long now = control.nowMillis();
        if (crashes.mustRefuse(request.content.getFingerprint())) {
            request.complete(
                    Answers.failure(request.overallVerdict, Reason.CRASHING_REQUEST, "the request crashes upstreams"));
            return;
        }
        Optional<HomeSelector.SelectedHome> selected = homeSelector.select(
                now, request.content.getService(), request.content.getIdempotent(), request.triedHomes);
        if (selected.isEmpty()) {
            request.complete(Answers.failure(
                    request.overallVerdict,
                    request.attempts == 0 ? Reason.NO_UPSTREAM : request.lastReason,
                    "no upstream of service '" + request.content.getService() + "' is in rotation"));
            return;
        }
        sendAttempt(request, selected.get());
    }

    private void sendAttempt(PendingRequest request, HomeSelector.SelectedHome selected) {
        long timeLeftMillis = request.deadlineMillis - control.nowMillis();
        request.attempts++;
        String attemptId = new AttemptId(peers.selfId(), peers.self().incarnation(), ++lastAttemptNumber).toString();
        String nodeId = selected.home().nodeId();
        Attempt attempt = Attempt.newBuilder()
                .setAttemptId(attemptId)
                .setTrial(selected.trial())
                .setSuspect(request.upstreamCrashed)
                .setContent(request.content.toBuilder().setDeadlineLeftMillis(timeLeftMillis))
                .build();
        homeSelector.recordSent(nodeId);
        CompletableFuture<Either<LinkFailure, Answer>> call = nodeId.equals(peers.selfId())
                ? localHome.attempt(attempt).thenApply(Either::<LinkFailure, Answer>right)
                : peers.call(
                                selected.home(),
                                Envelope.newBuilder().setAttempt(attempt).build(),
                                timeLeftMillis + REPLY_MARGIN_MILLIS)
                        .thenApply(result -> result.map(Envelope::getAnswer));
        call.thenAccept(result -> {
                    homeSelector.recordEnded(nodeId);
                    result.peek(answer -> handleAnswer(request, selected, attemptId, answer))
                            .peekLeft(failure -> handleLinkFailure(request, selected, attemptId, failure));
                })
                .exceptionally(exception -> completeAfterException(request, exception));
    }

    // An exception in a callback is logged nowhere else, and must not leave the caller without an answer.
    private static Void completeAfterException(PendingRequest request, Throwable exception) {
        LOG.errorf(exception, "dispatch of request %s failed", request.content.getRequestId());
        request.complete(Answers.failure(Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, "internal error"));
        return null;
    }

    private void handleAnswer(
            PendingRequest request, HomeSelector.SelectedHome selected, String attemptId, Answer answer) {
        if (!answer.getAttemptId().equals(attemptId)) {
            metrics.recordDroppedAnswer(Reason.ANSWER_CROSSED);
            handleFailure(
                    request,
                    selected,
                    Answers.failure(
                            Verdict.MAY_HAVE_RUN, Reason.ANSWER_CROSSED, "the answer belongs to another attempt"));
            return;
        }
        if (answer.hasLoad()) {
            homeSelector.recordLoad(control.nowMillis(), selected.home().nodeId(), answer.getLoad());
        }
        if (answer.getUpstreamCrashed()) {
            crashes.recordCrash(request.content.getFingerprint(), answer.getUpstreamId());
            request.upstreamCrashed = true;
        }
        if (Answers.verdict(answer) == Verdict.RAN) {
            request.complete(answer);
            return;
        }
        handleFailure(request, selected, answer);
    }

    private void handleFailure(PendingRequest request, HomeSelector.SelectedHome selected, Answer failure) {
        Reason reason = Answers.reason(failure);
        Verdict verdict = Answers.verdict(failure);
        String nodeId = selected.home().nodeId();
        homeSelector.penalise(control.nowMillis(), nodeId, reason);
        request.triedHomes.add(nodeId);
        request.lastReason = reason;
        request.overallVerdict = request.overallVerdict == Verdict.NOT_RUN ? verdict : request.overallVerdict;
        failureLog.logFailure(
                request.content,
                request.content.getRequestId() + '.' + request.attempts,
                verdict,
                failure.getReason(),
                failure.getDetail());
        long timeLeftMillis = request.deadlineMillis - control.nowMillis();
        retryPolicy
                .nextAttempt(
                        new RetryPolicy.FailedAttempt(request.attempts, verdict, reason),
                        request.content.getIdempotent(),
                        timeLeftMillis,
                        retryBudget(request.content))
                .peek(next -> {
                    metrics.recordRetry(reason);
                    startAttempt(request);
                })
                .peekLeft(stopReason -> request.complete(finalAnswer(request, failure, stopReason)));
    }

    private static Answer finalAnswer(PendingRequest request, Answer failure, Reason stopReason) {
        return stopReason == Answers.reason(failure)
                ? failure.toBuilder()
                        .setVerdict(request.overallVerdict.ordinal())
                        .build()
                : Answers.failure(request.overallVerdict, stopReason, failure.getReason() + ": " + failure.getDetail());
    }

    private void handleLinkFailure(
            PendingRequest request, HomeSelector.SelectedHome selected, String attemptId, LinkFailure failure) {
        if (failure.kind() == LinkFailure.Kind.NOT_SENT) {
            handleFailure(
                    request, selected, Answers.failure(Verdict.NOT_RUN, Reason.NODE_UNREACHABLE, failure.getMessage()));
            return;
        }
        Reason reason = failure.kind() == LinkFailure.Kind.TIMED_OUT ? Reason.DEADLINE_PASSED : Reason.LINK_LOST;
        Answer unresolved = Answers.failure(Verdict.MAY_HAVE_RUN, reason, failure.getMessage());
        homeSelector.penalise(control.nowMillis(), selected.home().nodeId(), reason);
        if (request.content.getIdempotent()) {
            // Retried at once: the abandon message only prevents the lost attempt from starting needlessly.
            resolveLostReply(request, selected, attemptId, failure, unresolved);
            handleFailure(request, selected, unresolved);
            return;
        }
        resolveLostReply(request, selected, attemptId, failure, unresolved)
                .thenAccept(resolved -> handleResolvedAnswer(request, selected, resolved));
    }

    private void handleResolvedAnswer(PendingRequest request, HomeSelector.SelectedHome selected, Answer resolved) {
        if (Answers.verdict(resolved) == Verdict.RAN) {
            request.complete(resolved);
        } else {
            handleFailure(request, selected, resolved);
        }
    }

    /**
     * Asks the home what became of an attempt whose reply was lost; asks twice, as the question may get lost too.
     *
     * <p>The question goes over the shared link, which is replaced only if it broke or went silent: replacing a working
     * link would fail all other calls in flight on it.
     */
    private CompletableFuture<Answer> resolveLostReply(
            PendingRequest request,
            HomeSelector.SelectedHome selected,
            String attemptId,
            LinkFailure failure,
            Answer unresolved) {
        return sendAbandon(request, selected, attemptId, failure)
                .thenCompose(firstResult -> firstResult.isRight()
                        ? completed(firstResult)
                        : sendAbandon(request, selected, attemptId, failure))
                .thenCompose(result -> result.fold(
                        lost -> CompletableFuture.completedFuture(unresolved),
                        reply -> resolutionOf(
                                request, selected, attemptId, failure, unresolved, reply.getAbandonReply())));
    }

    private CompletableFuture<Either<LinkFailure, Envelope>> sendAbandon(
            PendingRequest request, HomeSelector.SelectedHome selected, String attemptId, LinkFailure failure) {
        long timeLeftMillis = request.deadlineMillis - control.nowMillis();
        // The home remembers the abandoned id for as long as a delayed copy of the attempt may still arrive.
        Envelope message = Envelope.newBuilder()
                .setAbandon(Abandon.newBuilder()
                        .setAttemptId(attemptId)
                        .setHomeIncarnation(failure.incarnation())
                        .setRememberMillis(Math.max(0, timeLeftMillis) + ABANDON_TIMEOUT_MILLIS * 10))
                .build();
        return peers.call(selected.home(), message, ABANDON_TIMEOUT_MILLIS);
    }

    private static <T> CompletableFuture<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }

    /** Returns the outcome of an attempt by the home's reply; asks again later if the attempt still runs. */
    private CompletableFuture<Answer> resolutionOf(
            PendingRequest request,
            HomeSelector.SelectedHome selected,
            String attemptId,
            LinkFailure failure,
            Answer unresolved,
            AbandonReply reply) {
        switch (reply.getState()) {
            case NOT_RUN:
                return CompletableFuture.completedFuture(Answers.failure(
                        Verdict.NOT_RUN, Answers.reason(unresolved), "the attempt was abandoned before it started"));
            case FINISHED:
                return CompletableFuture.completedFuture(reply.getAnswer());
            case RUNNING:
                if (request.deadlineMillis + ABANDON_TIMEOUT_MILLIS < control.nowMillis()) {
                    return CompletableFuture.completedFuture(unresolved);
                }
                CompletableFuture<Answer> delayed = new CompletableFuture<>();
                control.after(RUNNING_POLL_PERIOD_MILLIS, () -> resolveLostReply(
                                request, selected, attemptId, failure, unresolved)
                        .thenAccept(delayed::complete));
                return delayed;
            default:
                return CompletableFuture.completedFuture(unresolved);
        }
    }

    // Each rank of a service has its own budget, so that an overload of one does not use up the retries of another.
    private RetryBudget retryBudget(RequestContent content) {
        return retryBudgets.computeIfAbsent(
                content.getService() + '/' + content.getRank(),
                key -> new RetryBudget(RETRY_SHARE, RETRY_BUDGET_CAPACITY));
    }

    /** A dispatched request that has not ended, with the state of its attempts. */
    private static final class PendingRequest {
        private final RequestContent content;
        private final long deadlineMillis;
        private final CompletableFuture<Answer> result = new CompletableFuture<>();
        private final Set<String> triedHomes = new HashSet<>();
        private Verdict overallVerdict = Verdict.NOT_RUN;
        private Reason lastReason = Reason.NO_UPSTREAM;
        private int attempts;
        private boolean upstreamCrashed;

        private PendingRequest(RequestContent content, long deadlineMillis) {
            this.content = content;
            this.deadlineMillis = deadlineMillis;
        }

        private void complete(Answer answer) {
            result.complete(answer);
        }
    }
}
