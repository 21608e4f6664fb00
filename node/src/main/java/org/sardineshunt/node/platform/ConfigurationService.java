package org.sardineshunt.node.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.jboss.logging.Logger;
import org.sardineshunt.coordination.RendezvousHashing;
import org.sardineshunt.coordination.intent.Intent;
import org.sardineshunt.coordination.intent.IntentChange;
import org.sardineshunt.coordination.intent.IntentSet;
import org.sardineshunt.coordination.membership.GossipQueue;
import org.sardineshunt.node.ControlThread;
import org.sardineshunt.node.peer.MessageCodec;
import org.sardineshunt.protocol.PeerMessages.ConfigurationSnapshot;
import org.sardineshunt.protocol.PeerMessages.Gossip;
import org.sardineshunt.protocol.PeerMessages.SyncReply;

/**
 * Holds the intents and keeps them up to date. Confined to the control thread.
 *
 * <p>An accepted change is a row of the table service with the next revision; the head row is updated in the same
 * transaction. Nodes adopt changes in order of revision and never return to a lower one. They receive changes by
 * gossip, by anti-entropy and, at a few nodes of each data centre, by polling the table.
 */
public final class ConfigurationService {
    private static final Logger LOG = Logger.getLogger(ConfigurationService.class);
    private static final String HEAD_KEY = "configuration/head";
    private static final String CHANGE_PREFIX = "configuration/change/";
    private static final String SNAPSHOT_OBJECT = "configuration-snapshot";
    private static final int MAXIMUM_RETAINED_CHANGES = 2_000;
    private static final int MAXIMUM_CHANGES_PER_MESSAGE = 16;
    /** Sends of each change for every factor of ten in the size of the fleet. */
    private static final int GOSSIP_RETRANSMIT_MULTIPLIER = 4;

    private static final int POLLERS_PER_DATA_CENTRE = 2;
    private static final int READ_BACK_ATTEMPTS = 5;
    private static final long READ_BACK_DELAY_MILLIS = 300;

    private final ControlThread control;
    private final PlatformClient platform;
    private final GossipQueue<IntentChange> pendingChanges = new GossipQueue<>(GOSSIP_RETRANSMIT_MULTIPLIER);
    private final TreeMap<Long, IntentChange> changes = new TreeMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private IntentSet intents = IntentSet.EMPTY;
    private boolean loaded;
    private boolean polling;

    /** Creates the service of a node that has no configuration yet. */
    public ConfigurationService(ControlThread control, PlatformClient platform) {
        this.control = control;
        this.platform = platform;
    }

    /** Adds a listener that runs after each adopted change or snapshot. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the current intents, expired ones included, and their revision. */
    public IntentSet intents() {
        return intents;
    }

    /** Returns whether the node has received the fleet's configuration; before that it serves no requests. */
    public boolean hasConfiguration() {
        return loaded;
    }

    /** Returns the retained changes accepted since a wall-clock time, oldest first. */
    public List<IntentChange> changesSince(long epochMillis) {
        return changes.values().stream()
                .filter(change -> change.acceptedEpochMillis() >= epochMillis)
                .toList();
    }

    /** Returns the retained changes after a revision, oldest first. */
    public List<IntentChange> changesAfter(long revision) {
        return List.copyOf(changes.tailMap(revision, false).values());
    }

    /** Returns the floor share that an intent in force at a wall-clock time sets for a service, or the default. */
    public double floorShare(String service, double defaultShare, long epochMillis) {
        return intents.forService(Intent.Action.FLOOR, service, epochMillis)
                .map(Intent::floorShare)
                .getOrElse(defaultShare);
    }

    /** Returns whether a node is one of the few nodes of its data centre that poll the table. */
    public static boolean isPoller(String nodeId, List<String> dataCentreNodes) {
        return RendezvousHashing.choose("configuration-poller", dataCentreNodes, POLLERS_PER_DATA_CENTRE)
                .contains(nodeId);
    }

    /** Reads missing changes from the table; completes with false if a poll is already running. */
    public CompletableFuture<Boolean> poll() {
        if (polling) {
            return CompletableFuture.completedFuture(false);
        }
        polling = true;
        return platform.readRows(
                        changeKey(intents.revision() + 1), CHANGE_PREFIX + "~", MAXIMUM_CHANGES_PER_MESSAGE * 16)
                .thenApplyAsync(this::adoptRows, control)
                .whenCompleteAsync(
                        (adopted, failure) -> {
                            polling = false;
                            if (failure != null) {
                                LOG.debugf("failed to poll the table service for changes: %s", failure.getMessage());
                            }
                        },
                        control);
    }

    /**
     * Reads the initial configuration from the table, or from the object store if the table is unavailable; completes
     * with false if neither can be read.
     */
    public CompletableFuture<Boolean> load() {
        return poll().handleAsync((adopted, failure) -> failure == null, control)
                .thenCompose(read -> read ? CompletableFuture.completedFuture(true) : loadSnapshot());
    }

    /**
     * Commits a change to the table service.
     *
     * @param proposal the change; its revision is one more than the revision it is based on
     * @return the accepted change, or the reason why it was not accepted
     */
    public CompletableFuture<Either<Refusal, IntentChange>> commit(IntentChange proposal) {
        if (proposal.revision() != intents.revision() + 1) {
            return CompletableFuture.completedFuture(Either.left(staleRefusal(proposal.revision() - 1)));
        }
        return platform.readRow(HEAD_KEY)
                .thenCompose(head -> platform.transact(transaction(proposal, head)))
                .handleAsync((outcome, failure) -> resolveCommit(proposal, outcome, failure), control)
                .thenCompose(result -> result);
    }

    /** Returns the number of changes that are still to be sent by gossip. */
    public int pendingUpdates() {
        return pendingChanges.size();
    }

    /** Adds pending changes to a gossip message in a fleet of the given size. */
    public void addUpdates(Gossip.Builder gossip, int fleetSize) {
        pendingChanges.take(MAXIMUM_CHANGES_PER_MESSAGE, fleetSize).stream()
                .map(MessageCodec::encode)
                .forEach(gossip::addChanges);
    }

    /** Adopts the changes of a gossip message; returns whether the sender still holds a later revision. */
    public boolean acceptGossip(Gossip gossip) {
        gossip.getChangesList().stream()
                .map(MessageCodec::decode)
                .sorted(Comparator.comparingLong(IntentChange::revision))
                .forEach(this::adopt);
        return gossip.getConfigurationRevision() > intents.revision();
    }

    /** Adds the changes that a node with a given revision lacks, or a snapshot if they are no longer retained. */
    public void addMissingChanges(long remoteRevision, SyncReply.Builder reply) {
        if (!loaded || remoteRevision > intents.revision()) {
            return;
        }
        List<IntentChange> missing = changesAfter(remoteRevision);
        if (remoteRevision > 0 && missing.size() == intents.revision() - remoteRevision) {
            missing.stream().map(MessageCodec::encode).forEach(reply::addChanges);
        } else {
            reply.setSnapshot(MessageCodec.encode(intents));
            changes.values().stream().map(MessageCodec::encode).forEach(reply::addChanges);
        }
    }

    /** Adopts the snapshot and the changes of a reply to a sync request. */
    public void acceptSyncReply(SyncReply reply) {
        if (reply.hasSnapshot()) {
            adoptSnapshot(MessageCodec.decode(reply.getSnapshot()));
        }
        reply.getChangesList().stream().map(MessageCodec::decode).forEach(this::adopt);
    }

    private boolean adoptRows(TableRows.Rows rows) {
        loaded = true;
        rows.rows().stream().map(row -> ChangeRow.parse(row.value())).forEach(this::adopt);
        return true;
    }

    private void adopt(IntentChange change) {
        if (change.revision() <= intents.revision()) {
            changes.putIfAbsent(change.revision(), change);
            return;
        }
        intents.apply(change).forEach(next -> {
            intents = next;
            loaded = true;
            changes.put(change.revision(), change);
            if (changes.size() > MAXIMUM_RETAINED_CHANGES) {
                changes.pollFirstEntry();
            }
            pendingChanges.add(Long.toString(change.revision()), change);
            LOG.infof("adopted revision %d: %s", change.revision(), change.describe());
            listeners.forEach(Runnable::run);
        });
    }

    private void adoptSnapshot(IntentSet snapshot) {
        loaded = true;
        IntentSet latest = intents.newerOf(snapshot);
        if (latest != intents) {
            intents = latest;
            listeners.forEach(Runnable::run);
        }
    }

    private CompletableFuture<Boolean> loadSnapshot() {
        return platform.getObject(SNAPSHOT_OBJECT)
                .thenApplyAsync(
                        content -> {
                            adoptSnapshot(MessageCodec.decode(parseSnapshot(content)));
                            return true;
                        },
                        control)
                .exceptionally(failure -> false);
    }

    private void storeSnapshot() {
        platform.putObject(SNAPSHOT_OBJECT, MessageCodec.encode(intents).toByteArray())
                .exceptionally(failure -> {
                    LOG.warnf(
                            "failed to store the snapshot of revision %d: %s",
                            intents.revision(), failure.getMessage());
                    return null;
                });
    }

    private static ConfigurationSnapshot parseSnapshot(byte[] content) {
        try {
            return ConfigurationSnapshot.parseFrom(content);
        } catch (com.google.protobuf.InvalidProtocolBufferException malformed) {
            throw new IllegalArgumentException("snapshot object is not a valid protobuf message", malformed);
        }
    }

    private static TableRows.Transaction transaction(IntentChange proposal, TableRows.Rows head) {
        long headVersion = head.rows().isEmpty() ? 0 : head.rows().get(0).version();
        String changeKey = changeKey(proposal.revision());
        return new TableRows.Transaction(
                List.of(new TableRows.Condition(HEAD_KEY, headVersion), new TableRows.Condition(changeKey, 0)),
                List.of(
                        new TableRows.Write(HEAD_KEY, Long.toString(proposal.revision())),
                        new TableRows.Write(changeKey, ChangeRow.format(proposal))));
    }

    private CompletableFuture<Either<Refusal, IntentChange>> resolveCommit(
            IntentChange proposal, TableRows.Outcome outcome, Throwable failure) {
        if (failure != null) {
            boolean outcomeUnknown =
                    unwrap(failure) instanceof PlatformFailure platformFailure && platformFailure.mayHaveTakenEffect();
            return outcomeUnknown
                    ? readBack(proposal, READ_BACK_ATTEMPTS)
                    : CompletableFuture.completedFuture(Either.left(new Refusal(
                            Refusal.Kind.PLATFORM_UNAVAILABLE, unwrap(failure).getMessage(), List.of())));
        }
        if (outcome.conflicts().isEmpty()) {
            return CompletableFuture.completedFuture(finishCommit(proposal));
        }
        return poll().handleAsync((read, pollFailure) -> Either.left(staleRefusal(proposal.revision() - 1)), control);
    }

    private CompletableFuture<Either<Refusal, IntentChange>> readBack(IntentChange proposal, int attempts) {
        return platform.readRow(changeKey(proposal.revision()))
                .handleAsync((rows, failure) -> resolveReadBack(proposal, rows, failure, attempts), control)
                .thenCompose(result -> result);
    }

    private CompletableFuture<Either<Refusal, IntentChange>> resolveReadBack(
            IntentChange proposal, TableRows.Rows rows, Throwable failure, int attempts) {
        Option<IntentChange> stored = failure != null
                ? Option.none()
                : Option.ofOptional(rows.rows().stream().findFirst()).map(row -> ChangeRow.parse(row.value()));
        if (stored.isEmpty() && attempts > 1) {
            CompletableFuture<Either<Refusal, IntentChange>> retried = new CompletableFuture<>();
            control.after(READ_BACK_DELAY_MILLIS, () -> readBack(proposal, attempts - 1)
                    .whenComplete((result, error) -> retried.complete(result)));
            return retried;
        }
        // The outcome stays unknown while the row is absent: the unanswered write may still take effect.
        if (stored.isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(new Refusal(
                    Refusal.Kind.OUTCOME_UNKNOWN,
                    "the response to the write was lost and the change is not in the table yet; change id "
                            + proposal.changeId(),
                    List.of())));
        }
        stored.forEach(this::adopt);
        return CompletableFuture.completedFuture(
                stored.get().changeId().equals(proposal.changeId())
                        ? finishCommit(stored.get())
                        : Either.left(staleRefusal(proposal.revision() - 1)));
    }

    private Either<Refusal, IntentChange> finishCommit(IntentChange change) {
        adopt(change);
        storeSnapshot();
        return Either.right(change);
    }

    private Refusal staleRefusal(long baseRevision) {
        return new Refusal(
                Refusal.Kind.STALE,
                "the change was made against revision " + baseRevision + ", but revision " + intents.revision()
                        + " is in force",
                changesAfter(baseRevision));
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof java.util.concurrent.CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }

    private static String changeKey(long revision) {
        return CHANGE_PREFIX + String.format("%016d", revision);
    }

    /**
     * Reason why a change was not accepted.
     *
     * @param kind kind of refusal
     * @param detail explanation for the operator
     * @param concurrentChanges known changes after the revision on which the refused one was based
     */
    public record Refusal(Kind kind, String detail, List<IntentChange> concurrentChanges) {
        /** Kinds of refusal. */
        public enum Kind {
            /** Another change was committed first. */
            STALE,
            /** The platform failed and the change was not written. */
            PLATFORM_UNAVAILABLE,
            /** The change may be in force. */
            OUTCOME_UNKNOWN
        }
    }
}
