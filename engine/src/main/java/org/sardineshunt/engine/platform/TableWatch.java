package org.sardineshunt.engine.platform;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.vavr.control.Either;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.platform.TableStore.Row;
import org.sardineshunt.engine.platform.TableStore.TableFailure;
import org.sardineshunt.engine.platform.TableStore.TableFailure.Kind;
import org.sardineshunt.engine.platform.TableStore.TableRows;

/**
 * Keeps a copy of a table: reads it once, follows its changes by long polling, and reads it again if the platform no
 * longer has the changes or has come back from an older copy. Confined to the control thread.
 *
 * <p>A call that waits for changes looks the same whether nothing has changed or its response was lost. So calls that are
 * answered at once accompany it: now and then, and after each call without a response until one is answered.
 */
public final class TableWatch {
    private static final long LONG_POLL_MILLIS = 30_000;

    // Time in which the waiting call should show a change that is known from elsewhere.
    private static final long EXPECTED_CHANGE_MILLIS = 500;

    // Reads that are behind are repeated this often, with pauses of a second. Then the store has gone back without
    // stating so.
    private static final int MAXIMUM_STALE_READS = 10;

    // The delay of a check depends on the fleet, which may change meanwhile.
    private static final long MAXIMUM_CHECK_DELAY_MILLIS = 5_000;

    private final TimerService timers;
    private final EventLog log;
    private final MonitoredTableStore store;
    private final String table;
    private final Pacing pacing;
    private final RetryDelay retryDelay;
    private final Consumer<List<Row>> onChanged;
    private final TableCopy copy = new TableCopy();
    private boolean loaded;

    // Whether the table is being read, so that changes after the version of the copy mean nothing.
    private boolean reading;
    private boolean reachable = true;
    private boolean historyLost;
    private int staleReads;
    private long updatedAtMillis;
    private long changedAtMillis;

    // Increased when new calls replace all earlier ones, whose results and timers are then ignored.
    private long generation;
    private Optional<Runnable> waitingCall = Optional.empty();

    // Whether a call got no response and a check, which is in progress or scheduled, has not been answered since.
    private boolean probing;
    private boolean probeScheduled;
    private boolean checking;

    /**
     * Creates a watch that does not read yet.
     *
     * @param onChanged receives new, changed and removed rows; called after the first read, and after the first one of
     *     an era, even if there are none
     */
    public TableWatch(
            TimerService timers,
            EventLog log,
            MonitoredTableStore store,
            String table,
            Pacing pacing,
            Random random,
            Consumer<List<Row>> onChanged) {
        this.timers = timers;
        this.log = log;
        this.store = store;
        this.table = table;
        this.pacing = pacing;
        retryDelay = new RetryDelay(random);
        this.onChanged = onChanged;
        updatedAtMillis = timers.nowMillis();
    }

    /** Reads the table and follows its changes until the process ends. */
    public void start() {
        store.onEraChange(this::readAll);
        store.onSilenceEnd(this::renew);
        readAll();
        scheduleCheck();
    }

    /** Returns whether the table has been read at least once. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Returns the version up to which the copy is complete. */
    public TableVersion version() {
        return copy.version();
    }

    /** Returns the row with the given key, if it exists. */
    public Optional<Row> row(String key) {
        return copy.row(key);
    }

    /**
     * Tells the watch that the table has just changed, as is known from elsewhere. If the waiting call doesn't show a change
     * soon, its response may be lost, so the table is checked.
     */
    public void expectChange() {
        timers.after(EXPECTED_CHANGE_MILLIS, () -> {
            if (timers.nowMillis() - changedAtMillis > 2 * EXPECTED_CHANGE_MILLIS) {
                checkIfWaiting();
            }
        });
    }

    private void readAll() {
        reading = true;
        replaceCalls();
        store.read(table, ofThisGeneration(this::handleSnapshot));
    }

    private void awaitChanges() {
        waitingCall = Optional.of(
                store.awaitChanges(table, copy.version(), LONG_POLL_MILLIS, ofThisGeneration(this::handleWaitResult)));
    }

    private void check() {
        if (checking) {
            return;
        }
        checking = true;
        store.awaitChanges(table, copy.version(), 0, ofThisGeneration(this::handleCheckResult));
    }

    private void checkIfWaiting() {
        if (waitingCall.isPresent() && !probing) {
            check();
        }
    }

    private void scheduleCheck() {
        long delayMillis = pacing.checkDelayMillis().getAsLong();
        if (delayMillis == Pacing.NEVER) {
            return;
        }
        timers.after(Math.min(delayMillis, MAXIMUM_CHECK_DELAY_MILLIS), () -> {
            if (delayMillis <= MAXIMUM_CHECK_DELAY_MILLIS) {
                checkIfWaiting();
            }
            scheduleCheck();
        });
    }

    // The request or the response of the waiting call may be lost.
    private void renew() {
        if (!reading) {
            replaceCalls();
            awaitChanges();
        }
    }

    private void replaceCalls() {
        generation++;
        waitingCall.ifPresent(Runnable::run);
        waitingCall = Optional.empty();
        probing = false;
        probeScheduled = false;
        checking = false;
    }

    private <T> Consumer<T> ofThisGeneration(Consumer<T> action) {
        long startedIn = generation;
        return result -> {
            if (generation == startedIn) {
                action.accept(result);
            }
        };
    }

    private void after(long delayMillis, Runnable action) {
        Consumer<Runnable> guarded = ofThisGeneration(Runnable::run);
        timers.after(delayMillis, () -> guarded.accept(action));
    }

    private void handleSnapshot(Either<TableFailure, TableRows> result) {
        if (result.isLeft()) {
            recordFailure(result.getLeft());
            after(nextDelayMillis(result.getLeft()), this::readAll);
            return;
        }
        if (copy.isNewerThan(result.get()) && staleReads < MAXIMUM_STALE_READS) {
            staleReads++;
            after(retryDelay.longestMillis(), this::readAll);
            return;
        }
        staleReads = 0;
        boolean firstOfEra =
                !loaded || copy.version().era() != result.get().version().era();
        loaded = true;
        reading = false;
        follow(copy.replace(result.get()), firstOfEra);
    }

    private void handleWaitResult(Either<TableFailure, TableRows> result) {
        waitingCall = Optional.empty();
        if (result.isRight()) {
            historyLost = false;
            copy.apply(result.get());
            follow(result.get().rows(), false);
            return;
        }
        TableFailure failure = result.getLeft();
        recordFailure(failure);
        if (failure.kind() == Kind.HISTORY_LOST) {
            readAgain();
        } else if (failure.kind() == Kind.UNANSWERED) {
            probe(failure);
        } else if (!probing) {
            after(nextDelayMillis(failure), this::awaitChanges);
        }
    }

    private void handleCheckResult(Either<TableFailure, TableRows> result) {
        checking = false;
        if (result.isLeft()) {
            TableFailure failure = result.getLeft();
            recordFailure(failure);
            if (failure.kind() == Kind.HISTORY_LOST) {
                readAgain();
            } else if (failure.kind() == Kind.UNANSWERED || probing) {
                probe(failure);
            }
            return;
        }
        probing = false;
        historyLost = false;
        copy.apply(result.get());
        if (!result.get().rows().isEmpty() || waitingCall.isEmpty()) {
            follow(result.get().rows(), false);
        } else {
            recordUpdate();
        }
    }

    // The waiting call goes on: a store that only responds slowly may still answer it.
    private void probe(TableFailure failure) {
        probing = true;
        if (probeScheduled) {
            return;
        }
        probeScheduled = true;
        after(nextDelayMillis(failure), () -> {
            probeScheduled = false;
            check();
        });
    }

    private void readAgain() {
        log.event("table-history-lost")
                .with("table", table)
                .with("version", copy.version().number())
                .write();
        boolean repeated = historyLost;
        historyLost = true;
        if (repeated) {
            reading = true;
            replaceCalls();
            after(retryDelay.longestMillis(), this::readAll);
        } else {
            readAll();
        }
    }

    private void follow(List<Row> changed, boolean alwaysNotify) {
        recordUpdate();
        replaceCalls();
        // Scheduled first, so that rows which the receiver can't handle don't end the watch.
        after(changed.isEmpty() ? 0 : pacing.changePauseMillis().getAsLong(), this::awaitChanges);
        if (alwaysNotify || !changed.isEmpty()) {
            changedAtMillis = timers.nowMillis();
            onChanged.accept(changed);
        }
    }

    private void recordUpdate() {
        markReachable();
        updatedAtMillis = timers.nowMillis();
    }

    // Since the last successful call, also one that brought no changes.
    private long ageMillis() {
        return timers.nowMillis() - updatedAtMillis;
    }

    private void recordFailure(TableFailure failure) {
        if (reachable && failure.kind() != Kind.HISTORY_LOST) {
            reachable = false;
            log.event("table-lost")
                    .with("table", table)
                    .with("version", copy.version().number())
                    .with("ageMillis", ageMillis())
                    .with("cause", failure.detail())
                    .write();
        }
    }

    // A call without a response has taken its timeout already.
    private long nextDelayMillis(TableFailure failure) {
        return failure.kind() == Kind.UNANSWERED ? retryDelay.shortestMillis() : retryDelay.nextMillis();
    }

    private void markReachable() {
        retryDelay.reset();
        if (!reachable) {
            reachable = true;
            log.event("table-regained")
                    .with("table", table)
                    .with("version", copy.version().number())
                    .with("ageMillis", ageMillis())
                    .write();
        }
    }

    /**
     * Times between the calls of a watch.
     *
     * @param changePauseMillis supplies the pause after each change, so that one call returns several changes in quick
     *     succession
     * @param checkDelayMillis supplies the time until the next check, asked again after some seconds if it is longer;
     *     {@link #NEVER} for no checks, except after a call without a response
     */
    public record Pacing(LongSupplier changePauseMillis, LongSupplier checkDelayMillis) {
        /** No check. */
        public static final long NEVER = Long.MAX_VALUE;
    }
}
