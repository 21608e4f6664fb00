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
 * Brings a request to home nodes until it is answered, may have run, or runs out of attempts or time. Belongs to the
 * control thread.
 *
 * <p>When a reply is lost the home is asked, over a new connection if the link broke, to abandon the attempt: its reply says whether the
 * attempt never runs, still runs, or what its answer was.
 */
final class Dispatcher {
    private static final Logger LOG = Logger.getLogger(Dispatcher.class);
    private static final double RETRY_SHARE = 0.1;
    private static final double RETRY_RESERVE = 10;
    private static final int MOST_ATTEMPTS = 3;
    private static final long MINIMUM_LEFT_MILLIS = 5;
    private static final long REPLY_MARGIN_MILLIS = 100;
    private static final long ABANDON_TIMEOUT_MILLIS = 1_500;
    private static final long RUNNING_POLL_MILLIS = 100;
    private static final long CRASH_NEWS_MILLIS = 200;

    private final ControlThread control;
    private final PeerClient peers;
    private final HomeService ownHome;
    private final HomeChoice choice;
    private final CrashRegistry crashes;
    private final NodeMetrics metrics;
    private final FailureLog failures;
    private final RetryPolicy policy = new RetryPolicy(MOST_ATTEMPTS, MINIMUM_LEFT_MILLIS);
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private int inFlight;

    Dispatcher(
            ControlThread control,
            PeerClient peers,
            HomeService ownHome,
            HomeChoice choice,
            CrashRegistry crashes,
            NodeMetrics metrics) {
        this.control = control;
        this.peers = peers;
        this.ownHome = ownHome;
        this.choice = choice;
        this.crashes = crashes;
        this.metrics = metrics;
        this.failures = new FailureLog(control);
    }

    /** Dispatches a request; the future never fails. */
    CompletableFuture<Answer> dispatch(RequestContent content) {
        long deadline = control.nowMillis() + content.getDeadlineLeftMillis();
        Flow flow = new Flow(content, deadline);
        budget(content).recordFirstAttempt();
        inFlight++;
        flow.result.whenComplete((answer, failure) -> inFlight--);
        attempt(flow);
        return flow.result.thenCompose(answer -> flow.crashed ? afterCrashNews(answer) : flow.result);
    }

    // The caller may send the request again at once through another node, which must know of the crash by then.
    private CompletableFuture<Answer> afterCrashNews(Answer answer) {
        CompletableFuture<Answer> later = new CompletableFuture<>();
        control.after(CRASH_NEWS_MILLIS, () -> later.complete(answer));
        return later;
    }

    int inFlight() {
        return inFlight;
    }

    private void attempt(Flow flow) {
        long now = control.nowMillis();
        if (crashes.mustRefuse(flow.content.getFingerprint())) {
            flow.end(Answers.failure(flow.verdictSoFar, Reason.CRASHING_REQUEST, "the request crashes upstreams"));
            return;
        }
        Optional<HomeChoice.Choice> chosen =
                choice.choose(now, flow.content.getService(), flow.content.getIdempotent(), flow.tried);
        if (chosen.isEmpty()) {
            flow.end(Answers.failure(
                    flow.verdictSoFar,
                    flow.attempts == 0 ? Reason.NO_UPSTREAM : flow.lastReason,
                    "no upstream of service '" + flow.content.getService() + "' is in rotation"));
            return;
        }
        send(flow, chosen.get());
    }

    private void send(Flow flow, HomeChoice.Choice chosen) {
        long left = flow.deadlineMillis - control.nowMillis();
        flow.attempts++;
        String attemptId = flow.content.getRequestId() + '.' + flow.attempts;
        String nodeId = chosen.home().nodeId();
        Attempt attempt = Attempt.newBuilder()
                .setAttemptId(attemptId)
                .setTrial(chosen.trial())
                .setSuspect(flow.crashed)
                .setContent(flow.content.toBuilder().setDeadlineLeftMillis(left))
                .build();
        choice.sent(nodeId);
        CompletableFuture<Either<LinkFailure, Answer>> call = nodeId.equals(peers.selfId())
                ? ownHome.attempt(attempt).thenApply(Either::<LinkFailure, Answer>right)
                : peers.call(
                                chosen.home(),
                                Envelope.newBuilder().setAttempt(attempt).build(),
                                left + REPLY_MARGIN_MILLIS)
                        .thenApply(result -> result.map(Envelope::getAnswer));
        call.thenAccept(result -> {
                    choice.ended(nodeId);
                    result.peek(answer -> answered(flow, chosen, attemptId, answer))
                            .peekLeft(failure -> linkFailed(flow, chosen, attemptId, failure));
                })
                .exceptionally(fault -> endAfterFault(flow, fault));
    }

    // A fault of this program must not leave the caller without an answer.
    private static Void endAfterFault(Flow flow, Throwable fault) {
        LOG.errorf(fault, "dispatch of request %s failed", flow.content.getRequestId());
        flow.end(Answers.failure(Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, "internal fault"));
        return null;
    }

    private void answered(Flow flow, HomeChoice.Choice chosen, String attemptId, Answer answer) {
        if (!answer.getAttemptId().equals(attemptId)) {
            metrics.recordDroppedAnswer(Reason.ANSWER_CROSSED);
            failed(
                    flow,
                    chosen,
                    Answers.failure(Verdict.MAY_HAVE_RUN, Reason.ANSWER_CROSSED, "answer of another attempt"));
            return;
        }
        if (answer.hasLoad()) {
            choice.learnLoad(control.nowMillis(), chosen.home().nodeId(), answer.getLoad());
        }
        if (answer.getUpstreamCrashed()) {
            crashes.recordCrash(flow.content.getFingerprint(), answer.getUpstreamId());
            flow.crashed = true;
        }
        if (Answers.verdict(answer) == Verdict.RAN) {
            flow.end(answer);
            return;
        }
        failed(flow, chosen, answer);
    }

    private void failed(Flow flow, HomeChoice.Choice chosen, Answer failure) {
        Reason reason = Answers.reason(failure);
        Verdict verdict = Answers.verdict(failure);
        String nodeId = chosen.home().nodeId();
        choice.penalise(control.nowMillis(), nodeId, reason);
        flow.tried.add(nodeId);
        flow.lastReason = reason;
        flow.verdictSoFar = flow.verdictSoFar == Verdict.NOT_RUN ? verdict : flow.verdictSoFar;
        failures.failed(
                flow.content,
                flow.content.getRequestId() + '.' + flow.attempts,
                verdict,
                failure.getReason(),
                failure.getDetail());
        long left = flow.deadlineMillis - control.nowMillis();
        policy.nextAttempt(
                        new RetryPolicy.FailedAttempt(flow.attempts, verdict, reason),
                        flow.content.getIdempotent(),
                        left,
                        budget(flow.content))
                .peek(next -> {
                    metrics.recordRetry(reason);
                    attempt(flow);
                })
                .peekLeft(why -> flow.end(ending(flow, failure, why)));
    }

    private static Answer ending(Flow flow, Answer failure, Reason why) {
        return why == Answers.reason(failure)
                ? failure.toBuilder().setVerdict(flow.verdictSoFar.ordinal()).build()
                : Answers.failure(flow.verdictSoFar, why, failure.getReason() + ": " + failure.getDetail());
    }

    private void linkFailed(Flow flow, HomeChoice.Choice chosen, String attemptId, LinkFailure failure) {
        if (failure.kind() == LinkFailure.Kind.NOT_SENT) {
            failed(flow, chosen, Answers.failure(Verdict.NOT_RUN, Reason.NODE_UNREACHABLE, failure.getMessage()));
            return;
        }
        Reason reason = failure.kind() == LinkFailure.Kind.TIMED_OUT ? Reason.DEADLINE_PASSED : Reason.LINK_LOST;
        Answer unresolved = Answers.failure(Verdict.MAY_HAVE_RUN, reason, failure.getMessage());
        choice.penalise(control.nowMillis(), chosen.home().nodeId(), reason);
        if (flow.content.getIdempotent()) {
            resolve(flow, chosen, attemptId, failure, unresolved);
            failed(flow, chosen, unresolved);
            return;
        }
        resolve(flow, chosen, attemptId, failure, unresolved)
                .thenAccept(resolved -> answeredAfterLoss(flow, chosen, resolved));
    }

    private void answeredAfterLoss(Flow flow, HomeChoice.Choice chosen, Answer resolved) {
        if (Answers.verdict(resolved) == Verdict.RAN) {
            flow.end(resolved);
        } else {
            failed(flow, chosen, resolved);
        }
    }

    /** Asks the home what became of an attempt whose reply was lost; a broken link has been replaced by then. */
    private CompletableFuture<Answer> resolve(
            Flow flow, HomeChoice.Choice chosen, String attemptId, LinkFailure failure, Answer unresolved) {
        return ask(flow, chosen, attemptId, failure)
                .thenCompose(first -> first.isRight() ? done(first) : ask(flow, chosen, attemptId, failure))
                .thenCompose(result -> result.fold(
                        lost -> CompletableFuture.completedFuture(unresolved),
                        reply -> resolution(flow, chosen, attemptId, failure, unresolved, reply.getAbandonReply())));
    }

    private CompletableFuture<Either<LinkFailure, Envelope>> ask(
            Flow flow, HomeChoice.Choice chosen, String attemptId, LinkFailure failure) {
        long left = flow.deadlineMillis - control.nowMillis();
        Envelope message = Envelope.newBuilder()
                .setAbandon(Abandon.newBuilder()
                        .setAttemptId(attemptId)
                        .setHomeIncarnation(failure.incarnation())
                        .setRememberMillis(Math.max(0, left) + ABANDON_TIMEOUT_MILLIS * 10))
                .build();
        return peers.call(chosen.home(), message, ABANDON_TIMEOUT_MILLIS);
    }

    private static <T> CompletableFuture<T> done(T value) {
        return CompletableFuture.completedFuture(value);
    }

    private CompletableFuture<Answer> resolution(
            Flow flow,
            HomeChoice.Choice chosen,
            String attemptId,
            LinkFailure failure,
            Answer unresolved,
            AbandonReply reply) {
        switch (reply.getState()) {
            case NOT_RUN:
                return CompletableFuture.completedFuture(
                        Answers.failure(Verdict.NOT_RUN, Answers.reason(unresolved), "abandoned before it started"));
            case FINISHED:
                return CompletableFuture.completedFuture(reply.getAnswer());
            case RUNNING:
                if (flow.deadlineMillis + ABANDON_TIMEOUT_MILLIS < control.nowMillis()) {
                    return CompletableFuture.completedFuture(unresolved);
                }
                CompletableFuture<Answer> later = new CompletableFuture<>();
                control.after(RUNNING_POLL_MILLIS, () -> resolve(flow, chosen, attemptId, failure, unresolved)
                        .thenAccept(later::complete));
                return later;
            default:
                return CompletableFuture.completedFuture(unresolved);
        }
    }

    // Each rank has its own budget, so that a flood of one does not use up the retries of another.
    private RetryBudget budget(RequestContent content) {
        return budgets.computeIfAbsent(
                content.getService() + '/' + content.getRank(), key -> new RetryBudget(RETRY_SHARE, RETRY_RESERVE));
    }

    /** One request on its way. */
    private static final class Flow {
        private final RequestContent content;
        private final long deadlineMillis;
        private final CompletableFuture<Answer> result = new CompletableFuture<>();
        private final Set<String> tried = new HashSet<>();
        private Verdict verdictSoFar = Verdict.NOT_RUN;
        private Reason lastReason = Reason.NO_UPSTREAM;
        private int attempts;
        private boolean crashed;

        private Flow(RequestContent content, long deadlineMillis) {
            this.content = content;
            this.deadlineMillis = deadlineMillis;
        }

        private void end(Answer answer) {
            result.complete(answer);
        }
    }
}
