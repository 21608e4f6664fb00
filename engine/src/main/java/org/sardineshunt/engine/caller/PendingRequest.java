package org.sardineshunt.engine.caller;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;

/**
 * The state of an accepted request: its attempts, what they have shown so far, and whether it has ended. Several
 * attempts may be in flight at the same time. Confined to the control thread.
 */
final class PendingRequest {
    private final AdmittedRequest request;
    private final Map<String, Runnable> cancellationByAttemptId = new LinkedHashMap<>();
    private final Set<String> triedHomes = new HashSet<>();
    private TimerService.Timer deadlineTimer = () -> {};
    private TimerService.Timer hedgeTimer = () -> {};
    private Optional<String> hedgeAttemptId = Optional.empty();
    private String lastAttemptId = "";
    private Verdict verdictSoFar = Verdict.NOT_RUN;
    private Reason lastReason = Reason.NO_UPSTREAM;
    private Optional<Answer> errorAnswer = Optional.empty();
    private String lastHomeId = "";
    private int sentAttempts;
    private int failedAttempts;
    private int offeredAttempts;
    private boolean responseStarted;
    private boolean ended;

    /** Creates the state of a request without attempts. */
    PendingRequest(AdmittedRequest request) {
        this.request = request;
    }

    /** Sets the timer that ends the request at its deadline; {@link #end} cancels it. */
    void setDeadlineTimer(TimerService.Timer timer) {
        deadlineTimer = timer;
    }

    /** Sets the timer that sends a second attempt beside a slow one, instead of an earlier one. */
    void setHedgeTimer(TimerService.Timer timer) {
        hedgeTimer.cancel();
        hedgeTimer = timer;
    }

    /** Records that the last attempt was sent beside a slow one. */
    void markLastAttemptAsHedge() {
        hedgeAttemptId = Optional.of(lastAttemptId);
    }

    /** Records an attempt that is about to be sent; it is in flight until it fails or is answered. */
    void startAttempt(SentAttempt attempt) {
        cancellationByAttemptId.put(attempt.attemptId(), () -> {});
        triedHomes.add(attempt.homeId());
        lastAttemptId = attempt.attemptId();
        lastHomeId = attempt.homeId();
        sentAttempts++;
    }

    /** Sets the action that cancels an attempt; ignored if the attempt isn't in flight any more. */
    void setCancellation(SentAttempt attempt, Runnable cancellation) {
        cancellationByAttemptId.computeIfPresent(attempt.attemptId(), (attemptId, previous) -> cancellation);
    }

    /** Records that an attempt failed, or was answered with a server error. */
    void failAttempt(SentAttempt attempt, Failure failure) {
        cancellationByAttemptId.remove(attempt.attemptId());
        lastReason = failure.reason();
        failedAttempts++;
        if (failure.offered()) {
            offeredAttempts++;
        }
        if (failure.verdict() != Verdict.NOT_RUN) {
            verdictSoFar = Verdict.MAY_HAVE_RUN;
        }
    }

    /** Records that an upstream answered an attempt without a server error. */
    void completeAttempt(SentAttempt attempt) {
        cancellationByAttemptId.remove(attempt.attemptId());
        lastHomeId = attempt.homeId();
    }

    /** Keeps the answer of an upstream with a server error, instead of an earlier one. */
    void recordErrorAnswer(Answer answer) {
        errorAnswer = Optional.of(answer);
    }

    /** Cancels the attempts in flight. They stay in flight, because a home may answer a cancelled attempt. */
    void cancelAttempts() {
        List.copyOf(cancellationByAttemptId.values()).forEach(Runnable::run);
    }

    /** Cancels all attempts in flight except one; their later results must be ignored. */
    void dropAttemptsExcept(SentAttempt kept) {
        Map<String, Runnable> dropped = new LinkedHashMap<>(cancellationByAttemptId);
        dropped.remove(kept.attemptId());
        cancellationByAttemptId.keySet().removeAll(dropped.keySet());
        dropped.values().forEach(Runnable::run);
    }

    /** Returns whether an attempt has neither failed nor been answered nor dropped. */
    boolean isInFlight(SentAttempt attempt) {
        return cancellationByAttemptId.containsKey(attempt.attemptId());
    }

    /** Ends the request; later results of its attempts must be ignored. */
    void end() {
        ended = true;
        deadlineTimer.cancel();
        hedgeTimer.cancel();
    }

    /** Records that the head of a streamed response was sent to the caller. */
    void startResponse() {
        responseStarted = true;
    }

    /** Returns whether the head of a streamed response was sent to the caller, so that no other may follow. */
    boolean hasResponseStarted() {
        return responseStarted;
    }

    /** Returns whether a part of a streamed body was sent to a home, so that no other home can get all of it. */
    boolean hasSentBody() {
        return request.exchange()
                .streamedBody()
                .filter(body -> body.pipe().isTouched())
                .isPresent();
    }

    /** Returns whether the rest of a streamed body will never arrive. */
    boolean hasFailedBody() {
        return request.exchange()
                .streamedBody()
                .filter(body -> body.pipe().failure() != null)
                .isPresent();
    }

    AdmittedRequest request() {
        return request;
    }

    /** Returns whether the caller has received the response or has disconnected. */
    boolean hasEnded() {
        return ended;
    }

    /** Returns the IDs of the attempts that have neither failed nor been answered, in the order they were sent. */
    List<String> attemptsInFlight() {
        return List.copyOf(cancellationByAttemptId.keySet());
    }

    /** Returns the node IDs of the homes that attempts were sent to. */
    Set<String> triedHomes() {
        return Set.copyOf(triedHomes);
    }

    /** Returns the node ID of the home that answered, before that of the last attempt; empty before the first one. */
    String lastHomeId() {
        return lastHomeId;
    }

    int sentAttempts() {
        return sentAttempts;
    }

    /** Returns the ID of the attempt that was sent beside a slow one; empty if there was none. */
    Optional<String> hedgeAttemptId() {
        return hedgeAttemptId;
    }

    /** Returns the number of all failed attempts, including those that homes refused. */
    int failedAttempts() {
        return failedAttempts;
    }

    /** Returns the number of failed attempts that were offered to an upstream and count against the route's maximum. */
    int offeredAttempts() {
        return offeredAttempts;
    }

    /** Returns {@link Verdict#MAY_HAVE_RUN} once any failed attempt may have run, else {@link Verdict#NOT_RUN}. */
    Verdict verdictSoFar() {
        return verdictSoFar;
    }

    /** Returns the reason of the last failure; {@link Reason#NO_UPSTREAM} before the first one. */
    Reason lastReason() {
        return lastReason;
    }

    /** Returns the last answer of an upstream with a server error. */
    Optional<Answer> errorAnswer() {
        return errorAnswer;
    }

    /**
     * An attempt that was sent to a home.
     *
     * @param attemptId unique ID of the attempt
     * @param homeId node ID of the home
     */
    record SentAttempt(String attemptId, String homeId) {}

    /**
     * How an attempt failed.
     *
     * @param verdict whether the attempt may have run
     * @param offered whether it was offered to an upstream
     */
    record Failure(Verdict verdict, Reason reason, boolean offered) {}
}
