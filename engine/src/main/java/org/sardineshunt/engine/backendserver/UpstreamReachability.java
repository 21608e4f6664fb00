package org.sardineshunt.engine.backendserver;

import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.http.HttpOutcome;

/** Whether the local upstream can be sent requests, by the outcomes of earlier ones. Confined to the control thread. */
final class UpstreamReachability {
    // The pause after a refused connection doubles, so that an upstream that is down is not tried every 400 ms.
    private static final long FIRST_PAUSE_MILLIS = 400;
    private static final long MAXIMUM_PAUSE_MILLIS = 6_400;

    private final TimerService timers;
    private final EventLog log;
    private final Runnable onPaused;
    private final Runnable onPauseEnded;
    private boolean misdirected;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private long pauseMillis = FIRST_PAUSE_MILLIS;

    /**
     * Creates the state of an upstream that can be reached.
     *
     * @param onPaused called when sending pauses because the upstream refuses connections
     * @param onPauseEnded called when the pause is over
     */
    UpstreamReachability(TimerService timers, EventLog log, Runnable onPaused, Runnable onPauseEnded) {
        this.timers = timers;
        this.log = log;
        this.onPaused = onPaused;
        this.onPauseEnded = onPauseEnded;
    }

    boolean isReachable(long nowMillis) {
        return nowMillis >= pausedUntilMillis && !misdirected;
    }

    /** Resets the state: an upstream that announces itself can be reached, and no other upstream has its address. */
    void handleAnnouncement() {
        misdirected = false;
        pausedUntilMillis = Long.MIN_VALUE;
        pauseMillis = FIRST_PAUSE_MILLIS;
    }

    /**
     * Records the outcome of a request that was sent to the current start of the upstream.
     *
     * @param wasMisdirected whether another upstream has responded
     */
    void recordOutcome(String upstreamId, HttpOutcome outcome, boolean wasMisdirected) {
        if (wasMisdirected) {
            misdirected = true;
        } else if (outcome instanceof HttpOutcome.Failed failed && failed.kind() == HttpOutcome.FailureKind.CONNECT) {
            pauseSending(upstreamId);
        } else {
            pauseMillis = FIRST_PAUSE_MILLIS;
        }
    }

    private void pauseSending(String upstreamId) {
        long now = timers.nowMillis();
        if (now < pausedUntilMillis) {
            return;
        }
        pausedUntilMillis = now + pauseMillis;
        timers.after(pauseMillis + 1, onPauseEnded);
        log.event("upstream-refuses-connections")
                .with("upstream", upstreamId)
                .with("pauseMillis", pauseMillis)
                .write();
        pauseMillis = Math.min(MAXIMUM_PAUSE_MILLIS, pauseMillis * 2);
        onPaused.run();
    }
}
