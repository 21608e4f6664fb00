package org.sardineshunt.engine.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;

import io.vavr.control.Either;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.platform.TableStore.TableFailure.Kind;

/**
 * A table store that logs each call and detects, from the results of all calls, that the store has come back from an older
 * copy, or that it responds again after calls without a response. Passes results on in the control thread; confined to it.
 *
 * <p>Results of an era before the current one are late, and fail as unavailable. Results that state no era count as of the
 * current one.
 */
public final class MonitoredTableStore implements TableStore {
    private final TimerService timers;
    private final Executor control;
    private final EventLog log;
    private final TableStore store;
    private final List<Runnable> eraListeners = new ArrayList<>();
    private final List<Runnable> silenceEndListeners = new ArrayList<>();
    private long era;
    private boolean hasResponded;
    private boolean silent;
    private long lastRespondedCallMillis = Long.MIN_VALUE;

    /**
     * Creates a store that has not been called yet.
     *
     * @param control runs actions on the control thread
     * @param store performs the calls
     */
    public MonitoredTableStore(TimerService timers, Executor control, EventLog log, TableStore store) {
        this.timers = timers;
        this.control = control;
        this.log = log;
        this.store = store;
    }

    /** Returns the latest era that the store has stated; 0 if it has stated none. */
    public long era() {
        return era;
    }

    /**
     * Calls the listener whenever the store has come back from an older copy, before the result that shows it is passed on.
     * All versions known before then name nothing any more, and what was stored may be gone.
     */
    public void onEraChange(Runnable listener) {
        eraListeners.add(listener);
    }

    /**
     * Calls the listener whenever the store has responded to a call after another one got no response, before the result is
     * passed on. Calls that wait for changes may have been lost meanwhile.
     */
    public void onSilenceEnd(Runnable listener) {
        silenceEndListeners.add(listener);
    }

    @Override
    public void read(String table, Consumer<Either<TableFailure, TableRows>> onResult) {
        Call call = new Call("read", table, TableVersion.NONE, 0, timers.nowMillis());
        store.read(table, result -> control.execute(() -> onResult.accept(examineRows(call, result))));
    }

    @Override
    public Runnable awaitChanges(
            String table, TableVersion after, long waitMillis, Consumer<Either<TableFailure, TableRows>> onResult) {
        Call call = new Call("await-changes", table, after, waitMillis, timers.nowMillis());
        return store.awaitChanges(
                table, after, waitMillis, result -> control.execute(() -> onResult.accept(examineRows(call, result))));
    }

    @Override
    public void write(
            String table,
            String key,
            byte[] value,
            TableVersion expected,
            Consumer<Either<TableFailure, TableVersion>> onResult) {
        if (expected.era() != 0 && expected.era() < era) {
            // The number may have been given out again, so the condition could hold for another state of the row.
            onResult.accept(
                    Either.left(new TableFailure(Kind.CONFLICT, "expected version is of era " + expected.era())));
            return;
        }
        Call call = new Call("write", table, expected, 0, timers.nowMillis());
        store.write(
                table,
                key,
                value,
                expected,
                result -> control.execute(
                        () -> onResult.accept(examine(call, result, TableVersion::era, TableVersion::inEra))));
    }

    private Either<TableFailure, TableRows> examineRows(Call call, Either<TableFailure, TableRows> result) {
        return examine(
                call,
                result,
                rows -> rows.version().era(),
                (rows, rowsEra) -> new TableRows(rows.rows(), rows.version().inEra(rowsEra)));
    }

    private <T> Either<TableFailure, T> examine(
            Call call, Either<TableFailure, T> result, Function<T, Long> eraOf, BiFunction<T, Long, T> inEra) {
        long statedEra = result.fold(TableFailure::era, eraOf);
        log(call, result, statedEra);
        boolean late = statedEra != 0 && statedEra < era;
        if (statedEra > era) {
            changeEra(statedEra);
        }
        recordResponse(call, result.isLeft() && result.getLeft().kind() == Kind.UNANSWERED, result.isRight());
        return late
                ? Either.left(new TableFailure(Kind.UNAVAILABLE, "response of the earlier era " + statedEra))
                : result.map(value -> inEra.apply(value, era));
    }

    private void changeEra(long newEra) {
        long previousEra = era;
        era = newEra;
        // A store that stated no era before may have lost changes just as well.
        if (previousEra != 0 || hasResponded) {
            log.event("store-era-changed")
                    .with("previousEra", previousEra)
                    .with("era", newEra)
                    .write();
            List.copyOf(eraListeners).forEach(Runnable::run);
        }
    }

    private void recordResponse(Call call, boolean unanswered, boolean successful) {
        hasResponded |= successful;
        if (unanswered) {
            // A response to a later call shows that the silence is over.
            silent |= call.startedMillis() >= lastRespondedCallMillis;
            return;
        }
        if (!successful) {
            return;
        }
        lastRespondedCallMillis = Math.max(lastRespondedCallMillis, call.startedMillis());
        if (silent) {
            silent = false;
            log.event("store-responds-again").with("table", call.table()).write();
            List.copyOf(silenceEndListeners).forEach(Runnable::run);
        }
    }

    private <T> void log(Call call, Either<TableFailure, T> result, long statedEra) {
        log.event("store-call")
                .with("call", call.kind())
                .with("table", call.table())
                .with("version", call.version().number())
                .with("versionEra", call.version().era())
                .with("waitMillis", call.waitMillis())
                .with("millis", timers.nowMillis() - call.startedMillis())
                .with("era", statedEra)
                .with("result", result.fold(failure -> failure.kind().name(), value -> "OK"))
                .with("cause", result.fold(TableFailure::detail, value -> ""))
                .write();
    }

    /**
     * A call in progress.
     *
     * @param version version after which changes are awaited, or that a row is expected to have
     */
    private record Call(String kind, String table, TableVersion version, long waitMillis, long startedMillis) {}
}
