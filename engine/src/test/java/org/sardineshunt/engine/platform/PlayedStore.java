package org.sardineshunt.engine.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.engine.platform.TableStore.Row;
import org.sardineshunt.engine.platform.TableStore.TableFailure;
import org.sardineshunt.engine.platform.TableStore.TableFailure.Kind;
import org.sardineshunt.engine.platform.TableStore.TableRows;

/**
 * A table store on a clock that tests move. It may give no response, reset connections, lose its history or come back from an
 * older copy. Not thread-safe.
 */
final class PlayedStore {
    private static final long LATENCY_MILLIS = 4;
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_500;

    private final TimerService timers;
    private final List<Client> clients = new ArrayList<>();
    private Map<String, StoredRow> rows = new TreeMap<>();
    private long version = 100;
    private long historyStartVersion = 100;
    private long era = 1;

    PlayedStore(TimerService timers) {
        this.timers = timers;
    }

    /** Returns a client with connections of its own. */
    Client client() {
        Client client = new Client();
        clients.add(client);
        return client;
    }

    /** Writes a row. */
    void put(String table, String key, String value) {
        version++;
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        rows.put(table + '/' + key, new StoredRow(table, new Row(key, bytes, version, false)));
        clients.forEach(Client::answerWaitingCalls);
    }

    String value(String table, String key) {
        StoredRow row = rows.get(table + '/' + key);
        return row == null ? "" : new String(row.row().value(), StandardCharsets.UTF_8);
    }

    /** Has no history of the changes up to now. */
    void dropHistory() {
        historyStartVersion = version + 1;
    }

    /** Has no history from now on. */
    void loseHistory() {
        historyStartVersion = Long.MAX_VALUE;
    }

    /** Returns a copy of all tables. */
    Copy copy() {
        return new Copy(new TreeMap<>(rows), version);
    }

    /** Comes back from a copy, in the next era; calls that wait get no response. */
    void comeBack(Copy copy) {
        rows = new TreeMap<>(copy.rows());
        version = copy.version();
        historyStartVersion = version;
        era += era == 0 ? 0 : 1;
        clients.forEach(Client::loseWaitingCalls);
    }

    /** States no era from now on. */
    void stateNoEra() {
        era = 0;
    }

    /** Rows and version at one moment. */
    record Copy(Map<String, StoredRow> rows, long version) {}

    /** A row and its table. */
    record StoredRow(String table, Row row) {}

    /** One node's access to the store. */
    final class Client implements TableStore {
        private final List<Call<?>> waitingCalls = new ArrayList<>();
        private boolean silent;
        private boolean resetting;
        private boolean ignoringCancellation;
        private Copy readsFrom;
        private int calls;

        /** Sets whether calls that arrive and responses that are due get lost. */
        void setSilent(boolean isSilent) {
            silent = isSilent;
        }

        /** Sets whether calls are reset, also those that wait. */
        void setResetting(boolean isResetting) {
            resetting = isResetting;
            reset();
        }

        /** Lets cancelled calls pass on a result nevertheless. */
        void ignoreCancellation() {
            ignoringCancellation = true;
        }

        /** Answers reads of whole tables from a copy; from the tables themselves if that is null. */
        void setReadsFrom(Copy copy) {
            readsFrom = copy;
        }

        int calls() {
            return calls;
        }

        @Override
        public void read(String table, Consumer<Either<TableFailure, TableRows>> onResult) {
            Call<TableRows> call = new Call<>(0, onResult);
            call.arrive(() -> call.respond(Either.right(snapshot(table))));
        }

        @Override
        public Runnable awaitChanges(
                String table, TableVersion after, long waitMillis, Consumer<Either<TableFailure, TableRows>> onResult) {
            Call<TableRows> call = new Call<>(waitMillis, onResult);
            call.response = () -> after.number() < historyStartVersion || after.number() > version
                    ? Either.left(new TableFailure(Kind.HISTORY_LOST, "history lost", era))
                    : Either.right(rowsAfter(table, after.number(), copy()));
            call.arrive(() -> {
                if (waitMillis == 0 || call.isDue()) {
                    call.respondNow();
                    return;
                }
                waitingCalls.add(call);
                timers.after(waitMillis, () -> {
                    if (waitingCalls.contains(call)) {
                        call.respondNow();
                    }
                });
            });
            return () -> call.ended |= !ignoringCancellation;
        }

        @Override
        public void write(
                String table,
                String key,
                byte[] value,
                TableVersion expected,
                Consumer<Either<TableFailure, TableVersion>> onResult) {
            Call<TableVersion> call = new Call<>(0, onResult);
            call.arrive(() -> {
                StoredRow stored = rows.get(table + '/' + key);
                if ((stored == null ? 0 : stored.row().version()) != expected.number()) {
                    call.respond(Either.left(new TableFailure(Kind.CONFLICT, "conflict", era)));
                    return;
                }
                put(table, key, new String(value, StandardCharsets.UTF_8));
                call.respond(Either.right(new TableVersion(era, version)));
            });
        }

        private TableRows snapshot(String table) {
            return rowsAfter(table, 0, readsFrom == null ? copy() : readsFrom);
        }

        private TableRows rowsAfter(String table, long after, Copy tables) {
            List<Row> changed = tables.rows().values().stream()
                    .filter(row -> row.table().equals(table))
                    .map(StoredRow::row)
                    .filter(row -> row.version() > after)
                    .toList();
            return new TableRows(changed, new TableVersion(era, tables.version()));
        }

        private void answerWaitingCalls() {
            List<Call<?>> due = waitingCalls.stream().filter(Call::isDue).toList();
            waitingCalls.removeAll(due);
            due.forEach(Call::respondNow);
        }

        private void loseWaitingCalls() {
            waitingCalls.clear();
        }

        private void reset() {
            List<Call<?>> reset = List.copyOf(waitingCalls);
            waitingCalls.clear();
            reset.forEach(call -> call.end(Either.left(new TableFailure(Kind.UNAVAILABLE, "reset"))));
        }

        /** A call in progress. */
        private final class Call<T> {
            private final Consumer<Either<TableFailure, T>> onResult;
            private Supplier<Either<TableFailure, T>> response;
            private boolean ended;

            private Call(long waitMillis, Consumer<Either<TableFailure, T>> onResult) {
                this.onResult = onResult;
                calls++;
                timers.after(
                        waitMillis + RESPONSE_TIMEOUT_MILLIS,
                        () -> end(Either.left(new TableFailure(Kind.UNANSWERED, "no response in time"))));
            }

            private void arrive(Runnable action) {
                timers.after(LATENCY_MILLIS, () -> {
                    if (resetting) {
                        end(Either.left(new TableFailure(Kind.UNAVAILABLE, "reset")));
                    } else if (!silent) {
                        action.run();
                    }
                });
            }

            private boolean isDue() {
                return response.get()
                        .fold(
                                failure -> true,
                                result -> result instanceof TableRows changes
                                        && !changes.rows().isEmpty());
            }

            private void respondNow() {
                respond(response.get());
            }

            // The connection of a lost response delivers nothing further.
            private void respond(Either<TableFailure, T> result) {
                waitingCalls.remove(this);
                if (!silent) {
                    timers.after(LATENCY_MILLIS, () -> end(result));
                }
            }

            private void end(Either<TableFailure, T> result) {
                if (!ended) {
                    ended = true;
                    waitingCalls.remove(this);
                    onResult.accept(result);
                }
            }
        }
    }
}
