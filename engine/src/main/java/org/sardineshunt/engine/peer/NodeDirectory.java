package org.sardineshunt.engine.peer;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BinaryOperator;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.platform.MonitoredTableStore;
import org.sardineshunt.engine.platform.TableStore.Row;
import org.sardineshunt.engine.platform.TableWatch;
import org.sardineshunt.engine.protocol.EngineMessages.NodeRecord;

/**
 * The nodes of the fleet, as described by their rows in a table of the platform. Each node writes only its own row.
 * Confined to the control thread.
 */
public final class NodeDirectory {
    private static final String TABLE = "sardineshunt-nodes";

    // Nodes send their records to each other, so the table only repairs what was missed. Every change of the table
    // costs a call of every node, so a longer pause saves calls by the square of the fleet's size. It stays below the
    // history of the table, so that the next call still has the changes.
    private static final long CHANGE_PAUSE_MILLIS = 15_000;

    // Nodes that start together read the table before the others have written to it, and nodes of the build before send
    // no records.
    private static final long SHORT_CHANGE_PAUSE_MILLIS = 1_000;
    private static final long START_MILLIS = 5_000;

    // Records of many nodes arrive together when a fleet starts.
    private static final long UPDATE_DELAY_MILLIS = 10;

    private final ControlEventLoop control;
    private final EventLog log;
    private final String ownId;
    private final Runnable onChanged;
    private final TableWatch watch;
    private final OwnRowWriter ownRow;
    private final Map<String, KnownNode> nodes = new HashMap<>();
    private final Map<String, Announcement> storedUpstreams = new HashMap<>();
    private List<KnownNode> currentNodes = List.of();
    private Map<String, List<KnownNode>> homesByService = Map.of();
    private KnownNode ownNode;
    private KnownNode storedOwnNode;
    private boolean firstReadDone;
    private boolean updateScheduled;
    private long ownSequence;
    private long startedMillis;
    private final NodeRecordOrder order = new NodeRecordOrder();

    /**
     * Creates a directory that does not read the table yet.
     *
     * @param ownId ID of this node, which is the key of its row
     * @param onChanged called on the control thread after rows have changed
     */
    public NodeDirectory(
            ControlEventLoop control,
            EventLog log,
            MonitoredTableStore store,
            String ownId,
            Random random,
            Runnable onChanged) {
        this.control = control;
        this.log = log;
        this.ownId = ownId;
        this.onChanged = onChanged;
        TableWatch.Pacing pacing = new TableWatch.Pacing(this::changePauseMillis, () -> TableWatch.Pacing.NEVER);
        watch = new TableWatch(control, log, store, TABLE, pacing, random, this::applyChanges);
        ownRow = new OwnRowWriter(control, log, store, watch, TABLE, ownId);
    }

    /** Starts to read the table and to follow its changes. */
    public void start() {
        startedMillis = control.nowMillis();
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

    /** Returns the upstreams as the rows of the other nodes state them, by node ID; the table may be behind. */
    public Map<String, Announcement> storedUpstreams() {
        return Collections.unmodifiableMap(storedUpstreams);
    }

    /**
     * Returns the row that an earlier process of this node stored, if there was one at the first read; always empty
     * before {@link #isLoaded}.
     */
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
        setOwnNode(self);
        ownRow.write(encode(self, ownSequence).toByteArray(), onStored);
    }

    /**
     * Writes the row again that was last stored, if the table has come back from an older copy since. Rows that are not stored
     * yet are written anyway. The callback of {@link #publish} is called again.
     */
    public void publishAgain() {
        ownRow.writeAgain();
    }

    /** Replaces the record of this node for other nodes, without writing its row. */
    public void setOwnNode(KnownNode self) {
        ownNode = self;
        ownSequence++;
        nodes.put(ownId, self);
        updateCurrentNodes();
    }

    /** Returns the record of this node as it was last published, for other nodes; empty before the first time. */
    public Optional<NodeRecord> ownRecord() {
        return Optional.ofNullable(ownNode).map(self -> encode(self, ownSequence));
    }

    /**
     * Applies the record that a node has sent of itself, unless a newer one is known.
     *
     * @param senderId ID of the node at the other end of the link
     */
    public void receive(String senderId, NodeRecord node) {
        boolean fromItself = node.getNodeId().equals(senderId) && !senderId.equals(ownId);
        if (fromItself && order.acceptSent(senderId, node.getIncarnation(), node.getSequence())) {
            decodeRecord(senderId, node, sent -> {
                putNode(sent, 0);
                scheduleUpdate();
            });
        }
    }

    private void scheduleUpdate() {
        if (!updateScheduled) {
            updateScheduled = true;
            control.after(UPDATE_DELAY_MILLIS, () -> {
                updateScheduled = false;
                updateCurrentNodes();
                onChanged.run();
            });
        }
    }

    private void applyChanges(List<Row> changed) {
        ownRow.recordEra();
        changed.forEach(row -> {
            if (row.key().equals(ownId)) {
                ownRow.recordChange(row);
                restoreOwnNode(row);
            } else if (row.removed()) {
                nodes.remove(row.key());
                storedUpstreams.remove(row.key());
                order.forget(row.key());
            } else {
                applyStored(row);
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
        parse(row)
                .ifPresent(record -> decodeRecord(row.key(), record, node -> {
                    storedOwnNode = node;
                    if (ownNode == null) {
                        putNode(node, row.version());
                    }
                }));
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

    private void applyStored(Row row) {
        parse(row)
                .ifPresent(node -> decodeRecord(row.key(), node, stored -> {
                    stored.upstream().ifPresent(upstream -> storedUpstreams.put(row.key(), upstream));
                    if (order.acceptStored(row.key(), node.getIncarnation(), node.getSequence())) {
                        putNode(stored, row.version());
                    }
                }));
    }

    private Optional<NodeRecord> parse(Row row) {
        try {
            NodeRecord node = NodeRecord.parseFrom(row.value());
            if (!node.getNodeId().equals(row.key())) {
                throw new InvalidProtocolBufferException("key is not the node ID '" + node.getNodeId() + "'");
            }
            return Optional.of(node);
        } catch (InvalidProtocolBufferException malformed) {
            logIgnored(row.key(), malformed.getMessage());
            return Optional.empty();
        }
    }

    private void decodeRecord(String key, NodeRecord node, Consumer<KnownNode> onDecoded) {
        try {
            onDecoded.accept(decode(node));
        } catch (IllegalArgumentException malformed) {
            logIgnored(key, malformed.getMessage());
        }
    }

    private void logIgnored(String key, String cause) {
        log.event("row-ignored")
                .with("table", TABLE)
                .with("key", key)
                .with("cause", cause)
                .write();
    }

    private long changePauseMillis() {
        boolean starting = control.nowMillis() - startedMillis < START_MILLIS;
        boolean allSendRecords = currentNodes.stream().allMatch(node -> node.protocolLevel() > 0);
        return starting || !allSendRecords ? SHORT_CHANGE_PAUSE_MILLIS : CHANGE_PAUSE_MILLIS;
    }

    private static KnownNode decode(NodeRecord node) {
        Optional<Announcement> upstream =
                node.hasUpstream() ? Optional.of(UpstreamRecords.decode(node.getUpstream())) : Optional.empty();
        return new KnownNode(
                new PeerAddress(node.getNodeId(), node.getHost(), node.getPort()),
                node.getIncarnation(),
                node.getDataCentre(),
                node.getStopping(),
                upstream,
                node.getProtocolLevel());
    }

    private static NodeRecord encode(KnownNode node, long sequence) {
        NodeRecord.Builder builder = NodeRecord.newBuilder()
                .setNodeId(node.address().nodeId())
                .setIncarnation(node.incarnation())
                .setHost(node.address().host())
                .setPort(node.address().port())
                .setDataCentre(node.dataCentre())
                .setStopping(node.stopping())
                .setProtocolLevel(node.protocolLevel())
                .setSequence(sequence);
        node.upstream().ifPresent(upstream -> builder.setUpstream(UpstreamRecords.encode(upstream)));
        return builder.build();
    }
}
