package org.sardineshunt.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.sardineshunt.coordination.TimerService;

/** A clock that tests move. Actions run when the clock is moved, in the order of their times. Not thread-safe. */
public final class ManualTimerService implements TimerService {
    private final List<Scheduled> scheduled = new ArrayList<>();
    private long nowMillis;

    @Override
    public long nowMillis() {
        return nowMillis;
    }

    @Override
    public Timer every(long periodMillis, Runnable action) {
        return after(periodMillis, () -> {
            action.run();
            every(periodMillis, action);
        });
    }

    @Override
    public Timer after(long delayMillis, Runnable action) {
        Scheduled added = new Scheduled(nowMillis + Math.max(0, delayMillis), action);
        scheduled.add(added);
        return () -> scheduled.remove(added);
    }

    /** Moves the clock and runs each action at its time. */
    public void advance(long millis) {
        long end = nowMillis + millis;
        for (Scheduled next = nextUntil(end); next != null; next = nextUntil(end)) {
            scheduled.remove(next);
            nowMillis = Math.max(nowMillis, next.atMillis());
            next.action().run();
        }
        nowMillis = end;
    }

    /** Moves the clock as a pause of the process does: actions that were due run late, at the end of the pause. */
    public void pause(long millis) {
        nowMillis += millis;
        List<Scheduled> due = scheduled.stream()
                .filter(action -> action.atMillis() <= nowMillis)
                .sorted(Comparator.comparingLong(Scheduled::atMillis))
                .toList();
        scheduled.removeAll(due);
        due.forEach(action -> action.action().run());
    }

    private Scheduled nextUntil(long end) {
        return scheduled.stream()
                .filter(action -> action.atMillis() <= end)
                .min(Comparator.comparingLong(Scheduled::atMillis))
                .orElse(null);
    }

    private record Scheduled(long atMillis, Runnable action) {}
}
