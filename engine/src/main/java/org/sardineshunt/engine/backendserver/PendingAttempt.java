package org.sardineshunt.engine.backendserver;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.idempotency.AttemptId;
import org.sardineshunt.engine.AttemptStreams;
import org.sardineshunt.engine.http.HttpClient;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;

/** An attempt that waits for a slot or runs at this home. Confined to the control thread. */
final class PendingAttempt {
    private final Attempt attempt;
    private final AttemptId id;
    private final long arrivedMillis;
    private final AttemptStreams streams;
    private final List<Consumer<Answer>> listeners = new ArrayList<>();
    private final List<TimerService.Timer> timers = new ArrayList<>();
    private HttpClient.Call call;
    private long startedMillis;
    private String upstreamId = "";
    private boolean overdue;
    private boolean completed;

    PendingAttempt(
            Attempt attempt, AttemptId id, long arrivedMillis, AttemptStreams streams, Consumer<Answer> listener) {
        this.attempt = attempt;
        this.id = id;
        this.arrivedMillis = arrivedMillis;
        this.streams = streams;
        listeners.add(listener);
    }

    Attempt attempt() {
        return attempt;
    }

    AttemptStreams streams() {
        return streams;
    }

    /** Returns whether a part of the request or of its response is in transit. */
    boolean isStreaming() {
        return call != null && call.isStreaming();
    }

    /** Returns how long the upstream took, without the time that a streamed body was in transit. */
    long upstreamMillis(long nowMillis, boolean streamed) {
        return streamed && call != null ? call.serverMillis() : nowMillis - startedMillis;
    }

    AttemptId id() {
        return id;
    }

    /** Returns the id of the attempt's item in the queue. */
    String queueId() {
        return attempt.getAttemptId();
    }

    long arrivedMillis() {
        return arrivedMillis;
    }

    long startedMillis() {
        return startedMillis;
    }

    /** Returns the id of the upstream start that the attempt was sent to; empty while it waits. */
    String upstreamId() {
        return upstreamId;
    }

    void markStarted(long nowMillis, String newUpstreamId, HttpClient.Call newCall) {
        startedMillis = nowMillis;
        upstreamId = newUpstreamId;
        call = newCall;
    }

    /**
     * Marks an attempt that has run for longer than the limit as overdue, unless it is marked or completed already.
     *
     * @return whether the attempt was marked by this call
     */
    boolean tryMarkOverdue(long nowMillis, long limitMillis) {
        if (completed || overdue || isStreaming() || nowMillis - startedMillis <= limitMillis) {
            return false;
        }
        overdue = true;
        return true;
    }

    boolean wasOverdue() {
        return overdue;
    }

    /** Cancels the HTTP call; does nothing while the attempt waits. */
    void cancel() {
        if (call != null) {
            call.cancel();
        }
    }

    void addListener(Consumer<Answer> listener) {
        listeners.add(listener);
    }

    /** Adds a timer that is cancelled when the attempt ends, since it would keep the attempt with its body alive. */
    void addTimer(TimerService.Timer timer) {
        if (completed) {
            timer.cancel();
        } else {
            timers.add(timer);
        }
    }

    /** Ends an attempt that nobody waits for. */
    void abandon() {
        completed = true;
        timers.forEach(TimerService.Timer::cancel);
        timers.clear();
    }

    /** Ends the attempt and passes the answer to all listeners. */
    void complete(Answer answer) {
        abandon();
        listeners.forEach(listener -> listener.accept(answer));
    }
}
