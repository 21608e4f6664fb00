package org.sardineshunt.engine.peer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BinaryOperator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.platform.TableStore;
import org.sardineshunt.engine.platform.TableStore.Row;
import org.sardineshunt.engine.platform.TableStore.TableFailure;
import org.sardineshunt.engine.platform.TableWatch;
import org.sardineshunt.engine.protocol.EngineMessages.NodeRecord;

/**
 * The nodes of the fleet, as described by their rows in a table of the platform. Each node writes only its own row.
 * Confined to the control thread.
 */
public final class NodeDirectory {
    private static final String TABLE = "sardineshunt-nodes";
    private static final long CHANGE_PAUSE_MILLIS = 1_000;
    private static final long WRITE_RETRY_MILLIS = 400;

    private final ControlEventLoop control;
    private final EventLog log;
    private final TableStore store;
    private final String ownId;
    private final Runnable onChanged;
    private final TableWatch watch;
    private final Map<String, KnownNode> nodes = new HashMap<>();
    private List<KnownNode> currentNodes = List.of();
    private Map<String, List<KnownNode>> homesByService = Map.of();
    private KnownNode ownNode;
    private KnownNode storedOwnNode;
    private boolean firstReadDone;
    private boolean writeInProgress;
    private long ownRowVersion;

    /**
     * Creates a directory that does not read the table yet.
     *
     * @param ownId ID of this node, which is the key of its row
     * @param onChanged called on the control thread after rows have changed
     */
    public NodeDirectory(
            ControlEventLoop control, EventLog log, TableStore store, String ownId, Random random, Runnable onChanged) {
        this.control = control;
        this.log = log;
        this.store = store;
        this.ownId = ownId;
        this.onChanged = onChanged;
        watch = new TableWatch(control, log, store, TABLE, CHANGE_PAUSE_MILLIS, random, this::applyChanges);
    }

    /** Starts to read the table and to follow its changes. */
    public void start() {
        watch.start();
    }

    /** Returns whether the table has been read at least once. */
    public boolean isLoaded() {
        return watch.isLoaded();
    }

    /** Returns the known nodes; of several nodes with the same address only the one that started last. */
    public Stream<KnownNode> nodes() {
        return currentNodes.stream();
    }

    /** Returns the nodes whose upstream serves a service and is ready, sorted by node ID. */
    public List<KnownNode> homes(String service) {
        return homesByService.getOrDefault(service, List.of());
    }

    /** Returns the node with the given ID, even if another node has taken over its address. */
    public Optional<KnownNode> node(String nodeId) {
        return Optional.ofNullable(nodes.get(nodeId));
    }

    /** Returns the row that an earlier process of this node stored, if there was one at the first read. */
    public Optional<KnownNode> storedOwnNode() {
        return Optional.ofNullable(storedOwnNode);
    }

    /**
     * Writes this node's row and retries until it is stored or a later call replaces it.
     *
     * @param self content of the row
     * @param onStored called on the control thread when exactly this content is stored; not called if a later call
     *     replaces it first
     */
    public void publish(KnownNode self, Runnable onStored) {
        ownNode = self;
        nodes.put(ownId, self);
        updateCurrentNodes();
        write(self, onStored);
    }

    private void write(KnownNode self, Runnable onStored) {
        if (ownNode != self) {
            return;
        }
        if (writeInProgress || !watch.isLoaded()) {
            control.after(WRITE_RETRY_MILLIS / 4, () -> write(self, onStored));
            return;
        }
        writeInProgress = true;
        store.write(
                TABLE,
                ownId,
                encode(self),
                ownRowVersion,
                result -> control.execute(() -> {
                    writeInProgress = false;
                    if (result.isRight()) {
                        ownRowVersion = Math.max(ownRowVersion, result.get());
                        onStored.run();
                        return;
                    }
                    handleWriteFailure(self, onStored, result.getLeft());
                }));
    }

    private void handleWriteFailure(KnownNode self, Runnable onStored, TableFailure failure) {
        log.event("row-write-failed")
                .with("table", TABLE)
                .with("kind", failure.kind().name())
                .with("cause", failure.detail())
                .with("expectedVersion", ownRowVersion)
                .write();
        control.after(WRITE_RETRY_MILLIS, () -> write(self, onStored));
        if (failure.kind() == TableFailure.Kind.CONFLICT) {
            // The stored row has another version than expected: read that version for the next try.
            store.read(
                    TABLE,
                    rows -> rows.forEach(snapshot -> control.execute(() -> snapshot.rows().stream()
                            .filter(row -> row.key().equals(ownId))
                            .forEach(row -> ownRowVersion = Math.max(ownRowVersion, row.version())))));
        }
    }

    private void applyChanges(List<Row> changed) {
        changed.forEach(row -> {
            if (row.key().equals(ownId)) {
                ownRowVersion = Math.max(ownRowVersion, row.version());
                restoreOwnNode(row);
            } else if (row.removed()) {
                nodes.remove(row.key());
            } else {
                decode(row).ifPresent(node -> putNode(node, row.version()));
            }
        });
        firstReadDone = true;
        updateCurrentNodes();
        onChanged.run();
    }

    // After the first read the table can only be behind what this process knows about its own node.
    private void restoreOwnNode(Row row) {
        if (firstReadDone || row.removed()) {
            return;
        }
        decode(row).ifPresent(node -> {
            storedOwnNode = node;
            if (ownNode == null) {
                putNode(node, row.version());
            }
        });
    }

    // An address belongs to the node that started last: the others with that address are gone.
    private void updateCurrentNodes() {
        currentNodes = List.copyOf(nodes.values().stream()
                .collect(Collectors.toMap(
                        node -> node.address().host() + ':' + node.address().port(),
                        node -> node,
                        BinaryOperator.maxBy(Comparator.comparingLong(KnownNode::incarnation))))
                .values());
        // Kept by service, so that the cost of a request doesn't grow with the nodes of other services.
        homesByService = currentNodes.stream()
                .filter(node -> node.upstream()
                        .filter(upstream -> upstream.phase() == Phase.READY)
                        .isPresent())
                .sorted(Comparator.comparing(node -> node.address().nodeId()))
                .collect(Collectors.groupingBy(
                        node -> node.upstream().orElseThrow().service()));
    }

    private void putNode(KnownNode node, long rowVersion) {
        nodes.put(node.address().nodeId(), node);
        log.event("node-known")
                .with("peer", node.address().nodeId())
                .with("rowVersion", rowVersion)
                .with("startedAt", node.incarnation())
                .with("stopping", node.stopping())
                .with("upstream", node.upstream().map(Announcement::id).orElse(""))
                .with(
                        "phase",
                        node.upstream()
                                .map(announcement -> announcement.phase().name())
                                .orElse(""))
                .write();
    }

    private Optional<KnownNode> decode(Row row) {
        try {
            NodeRecord node = NodeRecord.parseFrom(row.value());
            if (!node.getNodeId().equals(row.key())) {
                throw new InvalidProtocolBufferException("key is not the node ID '" + node.getNodeId() + "'");
            }
            Optional<Announcement> upstream =
                    node.hasUpstream() ? Optional.of(UpstreamRecords.decode(node.getUpstream())) : Optional.empty();
            return Optional.of(new KnownNode(
                    new PeerAddress(node.getNodeId(), node.getHost(), node.getPort()),
                    node.getIncarnation(),
                    node.getDataCentre(),
                    node.getStopping(),
                    upstream,
                    node.getProtocolLevel()));
        } catch (InvalidProtocolBufferException | IllegalArgumentException malformed) {
            log.event("row-ignored")
                    .with("table", TABLE)
                    .with("key", row.key())
                    .with("cause", malformed.getMessage())
                    .write();
            return Optional.empty();
        }
    }

    private static byte[] encode(KnownNode node) {
        NodeRecord.Builder builder = NodeRecord.newBuilder()
                .setNodeId(node.address().nodeId())
                .setIncarnation(node.incarnation())
                .setHost(node.address().host())
                .setPort(node.address().port())
                .setDataCentre(node.dataCentre())
                .setStopping(node.stopping())
                .setProtocolLevel(node.protocolLevel());
        node.upstream().ifPresent(upstream -> builder.setUpstream(UpstreamRecords.encode(upstream)));
        return builder.build().toByteArray();
    }
}
