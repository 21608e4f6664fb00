package org.sardineshunt.node.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.idempotency.Ticket;
import org.sardineshunt.node.ControlThread;

/**
 * Maps keys that callers chose to tickets: the first claim of a key is a row of the table service that all later ones
 * find. Belongs to the control thread.
 *
 * <p>Claims of a short window go into one transaction. If the answer of the platform is lost the row is read back; the
 * ticket that it holds counts, whoever wrote it.
 */
public final class ClaimStore {
    private static final String PREFIX = "claim/";
    private static final long WINDOW_MILLIS = 10;
    private static final int MOST_CLAIMS_IN_TRANSACTION = 50;
    private static final int REMEMBERED_KEYS = 20_000;

    private final ControlThread control;
    private final PlatformClient platform;
    private final int transactionsPerSecond;
    private final Cache<String, Ticket> known = Caffeine.newBuilder()
            .maximumSize(REMEMBERED_KEYS)
            .executor(Runnable::run)
            .build();
    private final Map<String, Waiting> waiting = new LinkedHashMap<>();
    private boolean scheduled;
    private double allowance;
    private long allowanceAtMillis;

    /** Creates a store that uses at most this many transactions a second. */
    public ClaimStore(ControlThread control, PlatformClient platform, int transactionsPerSecond) {
        this.control = control;
        this.platform = platform;
        this.transactionsPerSecond = transactionsPerSecond;
        this.allowance = transactionsPerSecond;
        this.allowanceAtMillis = control.nowMillis();
    }

    /**
     * Returns the ticket of a key, or why it can't be known.
     *
     * @param ticket makes a fresh ticket, used if the key has none yet
     */
    public CompletableFuture<Either<Reason, Ticket>> claim(String key, java.util.function.Supplier<Ticket> ticket) {
        Ticket remembered = known.getIfPresent(key);
        if (remembered != null) {
            return CompletableFuture.completedFuture(Either.right(remembered));
        }
        Waiting same = waiting.get(key);
        if (same != null) {
            return same.result();
        }
        if (waiting.size() >= MOST_CLAIMS_IN_TRANSACTION * transactionsPerSecond) {
            return CompletableFuture.completedFuture(Either.left(Reason.CLAIM_LIMIT));
        }
        Waiting claim = new Waiting(key, ticket.get(), new CompletableFuture<>());
        waiting.put(key, claim);
        schedule(WINDOW_MILLIS);
        return claim.result();
    }

    private void schedule(long delayMillis) {
        if (!scheduled) {
            scheduled = true;
            control.after(delayMillis, this::flush);
        }
    }

    private void flush() {
        scheduled = false;
        long now = control.nowMillis();
        allowance = Math.min(
                transactionsPerSecond, allowance + (now - allowanceAtMillis) * transactionsPerSecond / 1_000.0);
        allowanceAtMillis = now;
        if (allowance < 1) {
            schedule(Math.max(WINDOW_MILLIS, 1_000 / transactionsPerSecond));
            return;
        }
        allowance--;
        List<Waiting> batch = waiting.values().stream()
                .limit(MOST_CLAIMS_IN_TRANSACTION)
                .collect(Collectors.toCollection(ArrayList::new));
        batch.forEach(claim -> waiting.remove(claim.key()));
        insert(batch);
        if (!waiting.isEmpty()) {
            schedule(WINDOW_MILLIS);
        }
    }

    private void insert(List<Waiting> batch) {
        if (batch.isEmpty()) {
            return;
        }
        TableRows.Transaction transaction = new TableRows.Transaction(
                batch.stream()
                        .map(claim -> new TableRows.Condition(PREFIX + claim.key(), 0))
                        .toList(),
                batch.stream()
                        .map(claim -> new TableRows.Write(
                                PREFIX + claim.key(), claim.ticket().text()))
                        .toList());
        platform.transact(transaction)
                .whenComplete((outcome, failure) -> control.execute(() -> inserted(batch, outcome, failure)));
    }

    private void inserted(List<Waiting> batch, TableRows.Outcome outcome, Throwable failure) {
        if (failure != null) {
            batch.forEach(this::readBack);
            return;
        }
        Map<String, TableRows.Row> taken =
                outcome.conflicts().stream().collect(Collectors.toMap(TableRows.Row::key, Function.identity()));
        batch.stream()
                .filter(claim -> taken.containsKey(PREFIX + claim.key()))
                .forEach(claim -> resolve(claim, taken.get(PREFIX + claim.key())));
        List<Waiting> free = batch.stream()
                .filter(claim -> !taken.containsKey(PREFIX + claim.key()))
                .toList();
        if (taken.isEmpty()) {
            free.forEach(claim -> complete(claim, claim.ticket()));
        } else {
            insert(free);
        }
    }

    private void readBack(Waiting claim) {
        platform.row(PREFIX + claim.key())
                .whenComplete((rows, failure) -> control.execute(() -> {
                    Option<TableRows.Row> row = failure == null
                            ? Option.ofOptional(rows.rows().stream().findFirst())
                            : Option.none();
                    row.peek(found -> resolve(claim, found))
                            .onEmpty(() -> claim.result().complete(Either.left(Reason.PLATFORM_UNAVAILABLE)));
                }));
    }

    private void resolve(Waiting claim, TableRows.Row row) {
        Ticket.parse(row.value()).peek(ticket -> complete(claim, ticket)).onEmpty(() -> claim.result()
                .complete(Either.left(Reason.KEY_OUTCOME_UNKNOWN)));
    }

    private void complete(Waiting claim, Ticket ticket) {
        known.put(claim.key(), ticket);
        claim.result().complete(Either.right(ticket));
    }

    private record Waiting(String key, Ticket ticket, CompletableFuture<Either<Reason, Ticket>> result) {}
}
