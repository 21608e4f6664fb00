package org.sardineshunt.engine.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.platform.TableStore.Row;
import org.sardineshunt.engine.platform.TableStore.TableFailure;
import org.sardineshunt.engine.platform.TableStore.TableRows;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class TableWatchTest {
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLog log = new EventLog("node", line -> {});
    private final ControlEventLoop control = new ControlEventLoop((EventLoop) eventLoops.next(), log);

    @AfterEach
    void close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against a watch that never asks again after rows that its receiver can't handle. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void goesOnAfterAFailureOfItsReceiver(boolean stackOverflow) {
        CompletableFuture<Long> asked = new CompletableFuture<>();
        ScriptedStore store = new ScriptedStore(List.of(row("a", 1)), asked);
        TableWatch watch = watch(store, rows -> {
            if (stackOverflow) {
                throw new StackOverflowError();
            }
            throw new IllegalStateException("can't handle " + rows);
        });
        control.execute(watch::start);
        assertThat(asked.orTimeout(10, TimeUnit.SECONDS).join(), is(7L));
    }

    @Test
    void takesTheLastOfSeveralRowsWithOneKey() {
        CompletableFuture<Long> asked = new CompletableFuture<>();
        List<Long> versions = new CopyOnWriteArrayList<>();
        ScriptedStore store = new ScriptedStore(List.of(row("a", 1), row("a", 2)), asked);
        TableWatch watch = watch(store, rows -> rows.forEach(row -> versions.add(row.version())));
        control.execute(watch::start);
        assertThat(asked.orTimeout(10, TimeUnit.SECONDS).join(), is(7L));
        assertThat(versions, contains(1L, 2L));
        assertThat(watch.row("a").orElseThrow().version(), is(2L));
    }

    private TableWatch watch(TableStore store, Consumer<List<Row>> receiver) {
        return new TableWatch(
                control,
                log,
                new MonitoredTableStore(control, control, log, store),
                "table",
                new TableWatch.Pacing(() -> 0, () -> TableWatch.Pacing.NEVER),
                new Random(1),
                receiver);
    }

    private static Row row(String key, long version) {
        return new Row(key, new byte[0], version, false);
    }

    /** Returns the same rows to each read and records the version after which changes are awaited. */
    private record ScriptedStore(List<Row> rows, CompletableFuture<Long> asked) implements TableStore {
        @Override
        public void read(String table, Consumer<Either<TableFailure, TableRows>> onResult) {
            onResult.accept(Either.right(new TableRows(new ArrayList<>(rows), new TableVersion(0, 7))));
        }

        @Override
        public Runnable awaitChanges(
                String table, TableVersion after, long waitMillis, Consumer<Either<TableFailure, TableRows>> onResult) {
            asked.complete(after.number());
            return () -> {};
        }

        @Override
        public void write(
                String table,
                String key,
                byte[] value,
                TableVersion expected,
                Consumer<Either<TableFailure, TableVersion>> onResult) {
            throw new UnsupportedOperationException("the watch doesn't write");
        }
    }
}
