package org.sardineshunt.engine.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.ManualTimerService;
import org.sardineshunt.engine.platform.TableStore.TableFailure;
import org.sardineshunt.engine.platform.TableStore.TableFailure.Kind;
import org.sardineshunt.engine.platform.TableStore.TableRows;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class MonitoredTableStoreTest {
    private final ManualTimerService timers = new ManualTimerService();
    private final HeldStore held = new HeldStore();
    private final MonitoredTableStore store =
            new MonitoredTableStore(timers, Runnable::run, new EventLog("node", line -> {}), held);
    private final List<String> events = new ArrayList<>();
    private final List<Either<TableFailure, TableRows>> results = new ArrayList<>();

    MonitoredTableStoreTest() {
        store.onEraChange(() -> events.add("era " + store.era()));
        store.onSilenceEnd(() -> events.add("silence ended"));
    }

    @Test
    void takesTheFirstEraAsTheCurrentOne() {
        read(new TableVersion(5, 1));
        assertThat(store.era(), is(5L));
        assertThat(events, is(List.of()));
    }

    @Test
    void reportsAnEraThatAFailureStates() {
        read(new TableVersion(5, 1));
        store.read("table", results::add);
        held.end(0, Either.left(new TableFailure(Kind.HISTORY_LOST, "status 410", 6)));
        assertThat(events, is(List.of("era 6")));
    }

    /** A store that stated no era before may have been replaced by an older copy just as well. */
    @Test
    void reportsAnEraAfterResponsesWithoutOne() {
        read(new TableVersion(0, 1));
        read(new TableVersion(2, 1));
        assertThat(events, is(List.of("era 2")));
    }

    /** Guards against taking a late response for the state after the return of the store. */
    @Test
    void dropsTheResponseOfAnEarlierEra() {
        store.read("table", results::add);
        store.read("table", results::add);
        held.end(1, rows(new TableVersion(6, 3)));
        held.end(0, rows(new TableVersion(5, 9)));
        assertThat(results.get(1).getLeft().kind(), is(Kind.UNAVAILABLE));
        assertThat(store.era(), is(6L));
    }

    @Test
    void countsAResponseWithoutAnEraAsOfTheCurrentOne() {
        read(new TableVersion(5, 1));
        read(new TableVersion(0, 2));
        assertThat(results.get(1).get().version(), is(new TableVersion(5, 2)));
        assertThat(events, is(List.of()));
    }

    /** Guards against a condition that holds by accident, because the version was given out again. */
    @Test
    void makesNoWriteThatExpectsAVersionOfAnEarlierEra() {
        read(new TableVersion(5, 1));
        read(new TableVersion(6, 1));
        List<Either<TableFailure, TableVersion>> written = new ArrayList<>();
        store.write("table", "key", new byte[0], new TableVersion(5, 1), written::add);
        assertThat(written.get(0).getLeft().kind(), is(Kind.CONFLICT));
        assertThat(held.writes, is(0));
    }

    @Test
    void reportsTheEndOfASilenceOnce() {
        store.read("table", results::add);
        held.end(0, unanswered());
        read(new TableVersion(1, 1));
        read(new TableVersion(1, 1));
        assertThat(events, is(List.of("silence ended")));
    }

    /** A single lost response, while later calls are answered, is no silence of the store. */
    @Test
    void ignoresACallWithoutAResponseThatIsOlderThanAnAnsweredOne() {
        store.read("table", results::add);
        timers.advance(10);
        store.read("table", results::add);
        held.end(1, rows(new TableVersion(1, 1)));
        held.end(0, unanswered());
        read(new TableVersion(1, 1));
        assertThat(events, is(List.of()));
    }

    private void read(TableVersion version) {
        timers.advance(10);
        store.read("table", results::add);
        held.end(0, rows(version));
    }

    private static Either<TableFailure, TableRows> rows(TableVersion version) {
        return Either.right(new TableRows(List.of(), version));
    }

    private static Either<TableFailure, TableRows> unanswered() {
        return Either.left(new TableFailure(Kind.UNANSWERED, "no response in time"));
    }

    /** Holds calls until the test ends them. */
    private static final class HeldStore implements TableStore {
        private final List<Consumer<Either<TableFailure, TableRows>>> calls = new ArrayList<>();
        private int writes;

        void end(int index, Either<TableFailure, TableRows> result) {
            calls.remove(index).accept(result);
        }

        @Override
        public void read(String table, Consumer<Either<TableFailure, TableRows>> onResult) {
            calls.add(onResult);
        }

        @Override
        public Runnable awaitChanges(
                String table, TableVersion after, long waitMillis, Consumer<Either<TableFailure, TableRows>> onResult) {
            calls.add(onResult);
            return () -> {};
        }

        @Override
        public void write(
                String table,
                String key,
                byte[] value,
                TableVersion expected,
                Consumer<Either<TableFailure, TableVersion>> onResult) {
            writes++;
        }
    }
}
