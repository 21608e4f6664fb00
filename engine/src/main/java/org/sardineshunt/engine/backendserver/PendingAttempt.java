package org.sardineshunt.engine.backendserver;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.sardineshunt.engine.http.HttpClient;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;

/** An attempt that waits or runs at its home. Belongs to the control thread. */
final class PendingAttempt {
    private final Attempt attempt;
    private final long arrivedMillis;
    private final List<Consumer<Answer>> listeners = new ArrayList<>();
    private HttpClient.Call call;
    private long startedMillis;
    private String upstreamId = "";
    private boolean overdue;
    private boolean completed;

    PendingAttempt(Attempt attempt, long arrivedMillis, Consumer<Answer> listener) {
        this.attempt = attempt;
        this.arrivedMillis = arrivedMillis;
        listeners.add(listener);
    }

    Attempt attempt() {
        return attempt;
    }

    long arrivedMillis() {
        return arrivedMillis;
    }

    long startedMillis() {
        return startedMillis;
    }

    /** Returns the start of the upstream that the attempt was sent to. */
    String upstreamId() {
        return upstreamId;
    }

    void markStarted(long nowMillis, String sentUpstreamId, HttpClient.Call newCall) {
        startedMillis = nowMillis;
        upstreamId = sentUpstreamId;
        call = newCall;
    }

    /** Returns whether the attempt has just become overdue; tells it once. */
    boolean tryMarkOverdue(long nowMillis, long limitMillis) {
        if (completed || overdue || nowMillis - startedMillis <= limitMillis) {
            return false;
        }
        overdue = true;
        return true;
    }

    boolean wasOverdue() {
        return overdue;
    }

    void cancel() {
        if (call != null) {
            call.cancel();
        }
    }

    void addListener(Consumer<Answer> listener) {
        listeners.add(listener);
    }

    void complete(Answer answer) {
        completed = true;
        listeners.forEach(listener -> listener.accept(answer));
    }
}
