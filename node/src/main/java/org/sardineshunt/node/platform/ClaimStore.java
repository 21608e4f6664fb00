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
 * Maps the request keys of callers to tickets. The first claim of a key inserts a row into the table service; later
 * claims get the ticket of that row. Confined to the control thread.
 *
 * <p>Claims are batched into one transaction per short window. If the response of the platform is lost, the row is read
 * back and its ticket is used, whichever node wrote it.
 */
public final class ClaimStore {
    private static final String CLAIM_KEY_PREFIX = "claim/";
    private static final long BATCH_WINDOW_MILLIS = 10;
    private static final int MAXIMUM_CLAIMS_PER_TRANSACTION = 50;
    private static final int MAXIMUM_CACHED_KEYS = 20_000;

    private final ControlThread control;
    private final PlatformClient platform;
    private final int transactionsPerSecond;
    private final Cache<String, Ticket> cachedTickets = Caffeine.newBuilder()
            .maximumSize(MAXIMUM_CACHED_KEYS)
            .executor(Runnable::run)
            .build();
    private final Map<String, PendingClaim> pendingClaims = new LinkedHashMap<>();
    private boolean flushScheduled;
    private double tokens;
    private long tokensRefilledAtMillis;

    /** Creates a store that starts at most this many batches per second. */
    public ClaimStore(ControlThread control, PlatformClient platform, int transactionsPerSecond) {
        this.control = control;
        this.platform = platform;
        this.transactionsPerSecond = transactionsPerSecond;
        this.tokens = transactionsPerSecond;
        this.tokensRefilledAtMillis = control.nowMillis();
    }

    /**
     * Returns the ticket of a key, or the reason why it can't be determined.
     *
     * @param newTicket creates the ticket that is used if the key has none yet
     */
    public CompletableFuture<Either<Reason, Ticket>> claim(String key, java.util.function.Supplier<Ticket> newTicket) {
        Ticket cachedTicket = cachedTickets.getIfPresent(key);
        if (cachedTicket != null) {
            return CompletableFuture.completedFuture(Either.right(cachedTicket));
        }
        PendingClaim pendingClaim = pendingClaims.get(key);
        if (pendingClaim != null) {
            return pendingClaim.result();
        }
        if (pendingClaims.size() >= MAXIMUM_CLAIMS_PER_TRANSACTION * transactionsPerSecond) {
            return CompletableFuture.completedFuture(Either.left(Reason.CLAIM_LIMIT));
        }
        PendingClaim claim = new PendingClaim(key, newTicket.get(), new CompletableFuture<>());
        pendingClaims.put(key, claim);
        scheduleFlush(BATCH_WINDOW_MILLIS);
        return claim.result();
    }

    private void scheduleFlush(long delayMillis) {
        if (!flushScheduled) {
            flushScheduled = true;
            control.after(delayMillis, this::flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        long now = control.nowMillis();
        tokens = Math.min(
                transactionsPerSecond, tokens + (now - tokensRefilledAtMillis) * transactionsPerSecond / 1_000.0);
        tokensRefilledAtMillis = now;
        if (tokens < 1) {
            scheduleFlush(Math.max(BATCH_WINDOW_MILLIS, 1_000 / transactionsPerSecond));
            return;
        }
        tokens--;
        List<PendingClaim> batch = pendingClaims.values().stream()
                .limit(MAXIMUM_CLAIMS_PER_TRANSACTION)
                .collect(Collectors.toCollection(ArrayList::new));
        batch.forEach(claim -> pendingClaims.remove(claim.key()));
        insert(batch);
        if (!pendingClaims.isEmpty()) {
            scheduleFlush(BATCH_WINDOW_MILLIS);
        }
    }

    private void insert(List<PendingClaim> batch) {
        if (batch.isEmpty()) {
            return;
        }
        TableRows.Transaction transaction = new TableRows.Transaction(
                batch.stream()
                        .map(claim -> new TableRows.Condition(CLAIM_KEY_PREFIX + claim.key(), 0))
                        .toList(),
                batch.stream()
                        .map(claim -> new TableRows.Write(
                                CLAIM_KEY_PREFIX + claim.key(), claim.ticket().text()))
                        .toList());
        platform.transact(transaction)
                .whenComplete((outcome, failure) -> control.execute(() -> handleInsertResult(batch, outcome, failure)));
    }

    private void handleInsertResult(List<PendingClaim> batch, TableRows.Outcome outcome, Throwable failure) {
        if (failure != null) {
            batch.forEach(this::readBack);
            return;
        }
        Map<String, TableRows.Row> conflictsByKey =
                outcome.conflicts().stream().collect(Collectors.toMap(TableRows.Row::key, Function.identity()));
        batch.stream()
                .filter(claim -> conflictsByKey.containsKey(CLAIM_KEY_PREFIX + claim.key()))
                .forEach(claim -> resolve(claim, conflictsByKey.get(CLAIM_KEY_PREFIX + claim.key())));
        List<PendingClaim> unclaimed = batch.stream()
                .filter(claim -> !conflictsByKey.containsKey(CLAIM_KEY_PREFIX + claim.key()))
                .toList();
        if (conflictsByKey.isEmpty()) {
            unclaimed.forEach(claim -> complete(claim, claim.ticket()));
        } else {
            insert(unclaimed);
        }
    }

    private void readBack(PendingClaim claim) {
        platform.readRow(CLAIM_KEY_PREFIX + claim.key())
                .whenComplete((rows, failure) -> control.execute(() -> {
                    Option<TableRows.Row> row = failure == null
                            ? Option.ofOptional(rows.rows().stream().findFirst())
                            : Option.none();
                    row.peek(found -> resolve(claim, found))
                            .onEmpty(() -> claim.result().complete(Either.left(Reason.PLATFORM_UNAVAILABLE)));
                }));
    }

    private void resolve(PendingClaim claim, TableRows.Row row) {
        Ticket.parse(row.value()).peek(ticket -> complete(claim, ticket)).onEmpty(() -> claim.result()
                .complete(Either.left(Reason.KEY_OUTCOME_UNKNOWN)));
    }

    private void complete(PendingClaim claim, Ticket ticket) {
        cachedTickets.put(claim.key(), ticket);
        claim.result().complete(Either.right(ticket));
    }

    private record PendingClaim(String key, Ticket ticket, CompletableFuture<Either<Reason, Ticket>> result) {}
}
