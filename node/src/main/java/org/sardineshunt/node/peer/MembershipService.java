package org.sardineshunt.node.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.jboss.logging.Logger;
import org.sardineshunt.coordination.membership.FailureDetector;
import org.sardineshunt.coordination.membership.GossipQueue;
import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.coordination.membership.Member.State;
import org.sardineshunt.coordination.membership.MemberTable;
import org.sardineshunt.coordination.membership.UpstreamInfo;
import org.sardineshunt.node.ControlThread;
import org.sardineshunt.node.NodeSettings.TimingSettings;
import org.sardineshunt.protocol.PeerMessages.Acknowledgement;
import org.sardineshunt.protocol.PeerMessages.Envelope;
import org.sardineshunt.protocol.PeerMessages.Gossip;
import org.sardineshunt.protocol.PeerMessages.IndirectPing;
import org.sardineshunt.protocol.PeerMessages.MemberRecord;
import org.sardineshunt.protocol.PeerMessages.Ping;
import org.sardineshunt.protocol.PeerMessages.SyncReply;
import org.sardineshunt.protocol.PeerMessages.SyncRequest;

/**
 * Maintains the member table by probes, gossip and anti-entropy. Confined to the control thread.
 *
 * <p>Nodes probe the nodes of their own data centre, so that a network partition between regions does not make them
 * declare each other dead; gossip and anti-entropy cross data centres.
 */
public final class MembershipService {
    private static final Logger LOG = Logger.getLogger(MembershipService.class);
    private static final int MAXIMUM_RECORDS_PER_MESSAGE = 8;
    /** Sends of each record for every factor of ten in the size of the fleet. */
    private static final int GOSSIP_RETRANSMIT_MULTIPLIER = 4;

    private static final int INDIRECT_PROBES = 3;
    /** Probe periods from suspicion to death among ten nodes; grows with the logarithm of their number. */
    private static final double SUSPICION_PERIODS = 4;

    private static final int PROBE_PERIODS_PER_SYNC = 5;
    private static final long SYNC_TIMEOUT_MILLIS = 2_000;
    private static final long ENDED_MEMBER_RETENTION_MILLIS = 900_000;
    /** With a single local peer no other local node could probe it indirectly; all data centres are probed then. */
    private static final int MINIMUM_LOCAL_PROBE_TARGETS = 2;

    private final ControlThread control;
    private final PeerLinks links;
    private final TimingSettings timing;
    private final Random random;
    private final FailureDetector detector;
    private final MemberTable table = new MemberTable();
    private final GossipQueue<Member> pendingRecords = new GossipQueue<>(GOSSIP_RETRANSMIT_MULTIPLIER);
    private final List<Runnable> listeners = new ArrayList<>();
    private final Map<String, Long> knownRevisions = new HashMap<>();
    private final GossipExtension extension;
    private Member self;
    private long generation;
    private int probePeriods;
    private int crossDataCentreSends;

    /**
     * Creates the membership of a node that knows only itself.
     *
     * @param self record of this node with its first version
     * @param extension further state that gossip carries
     */
    public MembershipService(
            ControlThread control,
            PeerLinks links,
            TimingSettings timing,
            Member self,
            Random random,
            GossipExtension extension) {
        this.control = control;
        this.links = links;
        this.timing = timing;
        this.self = self;
        this.random = random;
        this.extension = extension;
        this.detector = new FailureDetector(timing.probePeriod().millis(), INDIRECT_PROBES, SUSPICION_PERIODS, random);
        table.merge(control.nowMillis(), self);
    }

    /** Starts the periodic probes, gossip and anti-entropy. */
    public void start() {
        control.every(timing.probePeriod().millis(), this::probe);
    }

    /** Adds a listener that runs after each change of the table. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the member table. */
    public MemberTable table() {
        return table;
    }

    /** Returns this node's own record. */
    public Member self() {
        return self;
    }

    /** Returns a number that grows with each change of the table. */
    public long generation() {
        return generation;
    }

    /** Returns the last known intent revision of other nodes by node id; nodes not heard from are absent. */
    public Map<String, Long> knownRevisions() {
        return Map.copyOf(knownRevisions);
    }

    /** Publishes the upstreams of this node if they have changed. */
    public void publishUpstreams(List<UpstreamInfo> upstreams) {
        if (!self.upstreams().equals(upstreams)) {
            publish(self.state(), self.successor(), upstreams);
        }
    }

    /**
     * Announces that this node is stopping; its upstreams get no new requests from then on.
     *
     * @param successor id of the node that takes over this node's tickets, or an empty text
     */
    public void publishLeft(String successor) {
        publish(State.LEFT, successor, self.upstreams());
    }

    /** Sends pending gossip immediately to up to this many random nodes, in addition to the periodic probes. */
    public void gossipNow(int nodes) {
        List<Member> targets = new ArrayList<>(reachablePeers());
        java.util.Collections.shuffle(targets, random);
        targets.stream().limit(nodes).forEach(target -> ping(target, () -> {}));
    }

    /** Asks up to this many reachable nodes for their intent revision; completes when all have answered or failed. */
    public CompletableFuture<Void> refreshRevisions(int maximumNodes) {
        List<Member> targets = new ArrayList<>(reachablePeers());
        java.util.Collections.shuffle(targets, random);
        return CompletableFuture.allOf(targets.stream()
                .limit(maximumNodes)
                .map(target -> ping(target, () -> {}).exceptionally(failure -> null))
                .toArray(CompletableFuture<?>[]::new));
    }

    /**
     * Runs an anti-entropy exchange with a node; completes with false if it fails.
     *
     * @param nodeId the node, or an empty text for a seed whose id isn't known
     */
    public CompletableFuture<Boolean> syncWith(String nodeId, Member.Endpoint endpoint) {
        SyncRequest.Builder request = SyncRequest.newBuilder()
                .setConfigurationRevision(extension.revision())
                .addMembers(MessageCodec.encode(self));
        for (long digest : table.digests()) {
            request.addBucketDigests(digest);
        }
        Envelope message = Envelope.newBuilder().setSyncRequest(request).build();
        return links.call(nodeId, endpoint, message, SYNC_TIMEOUT_MILLIS)
                .thenApplyAsync(reply -> acceptSyncReply(reply.envelope().getSyncReply()), control)
                .exceptionally(failure -> false);
    }

    /** Runs an anti-entropy exchange with this node itself over a TCP link to warm up that code path. */
    public CompletableFuture<Boolean> syncWithSelf() {
        return syncWith(self.nodeId(), self.endpoint());
    }

    /** Merges the gossip of another node's probe and returns the acknowledgement. */
    public Envelope.Builder answerPing(String remoteNodeId, Ping ping) {
        acceptGossip(remoteNodeId, ping.getGossip());
        return acknowledgement(true);
    }

    /** Probes a node on behalf of another one; the acknowledgement tells whether it was reached. */
    public CompletionStage<Envelope.Builder> answerIndirectPing(IndirectPing request) {
        CompletableFuture<Envelope.Builder> result = new CompletableFuture<>();
        table.find(request.getTargetNodeId())
                .ifPresentOrElse(
                        target -> callPing(target)
                                .whenComplete((reply, failure) -> result.complete(acknowledgement(failure == null))),
                        () -> result.complete(acknowledgement(false)));
        return result;
    }

    /** Returns the records that differ from another node's and merges the records that it sent. */
    public Envelope.Builder answerSync(String remoteNodeId, SyncRequest request) {
        recordRevision(remoteNodeId, request.getConfigurationRevision());
        long[] digests = request.getBucketDigestsList().stream()
                .mapToLong(Long::longValue)
                .toArray();
        List<Integer> differing = table.differingBuckets(digests);
        SyncReply.Builder reply = SyncReply.newBuilder().addAllDifferingBuckets(differing);
        table.inBuckets(differing).stream().map(MessageCodec::encode).forEach(reply::addMembers);
        extension.addMissingChanges(request.getConfigurationRevision(), reply);
        mergeAll(request.getMembersList());
        return Envelope.newBuilder().setSyncReply(reply);
    }

    /** Merges gossip of another node, from a probe or its acknowledgement. */
    public void acceptGossip(String remoteNodeId, Gossip gossip) {
        recordRevision(remoteNodeId, gossip.getConfigurationRevision());
        mergeAll(gossip.getMembersList());
        extension.acceptGossip(remoteNodeId, gossip);
    }

    private void recordRevision(String nodeId, long revision) {
        if (!nodeId.equals(self.nodeId())) {
            knownRevisions.put(nodeId, revision);
        }
    }

    private void publish(State state, String successor, List<UpstreamInfo> upstreams) {
        self = new Member(
                self.nodeId(),
                self.incarnation(),
                self.version() + 1,
                state,
                self.endpoint(),
                self.location(),
                successor,
                upstreams);
        table.merge(control.nowMillis(), self);
        pendingRecords.add(self.nodeId(), self);
        tableChanged();
    }

    private void probe() {
        List<Member> probeTargets = probeTargets();
        for (FailureDetector.Action action : detector.tick(control.nowMillis(), probeTargets)) {
            execute(action, probeTargets);
        }
        probePeriods++;
        if (probePeriods % PROBE_PERIODS_PER_SYNC == 0) {
            table.expire(control.nowMillis(), ENDED_MEMBER_RETENTION_MILLIS);
            randomPeer().ifPresent(member -> syncWith(member.nodeId(), member.endpoint()));
        }
        gossipToOtherDataCentre();
    }

    private void execute(FailureDetector.Action action, List<Member> probeTargets) {
        switch (action.kind()) {
            case PING -> table.find(action.nodeId()).ifPresent(target -> probeDirectly(target, probeTargets));
            case SUSPECT -> changeState(action.nodeId(), State.SUSPECT);
            case DECLARE_DEAD -> changeState(action.nodeId(), State.DEAD);
            default -> LOG.errorf("unexpected failure detector action %s", action);
        }
    }

    private void probeDirectly(Member target, List<Member> probeTargets) {
        ping(target, () -> detector.acknowledged(target.nodeId()));
        control.after(
                timing.probeTimeout().millis(),
                () -> detector.directProbeTimedOut(target.nodeId(), probeTargets).stream()
                        .flatMap(action -> action.intermediaries().stream())
                        .forEach(intermediary -> probeIndirectly(intermediary, target.nodeId())));
    }

    private void probeIndirectly(String intermediaryId, String targetId) {
        Envelope message = Envelope.newBuilder()
                .setIndirectPing(IndirectPing.newBuilder().setTargetNodeId(targetId))
                .build();
        table.find(intermediaryId).ifPresent(intermediary -> links.call(
                        intermediaryId,
                        intermediary.endpoint(),
                        message,
                        2 * timing.probeTimeout().millis())
                .thenAcceptAsync(
                        reply -> {
                            if (reply.envelope().getAcknowledgement().getReached()) {
                                detector.acknowledged(targetId);
                            }
                        },
                        control));
    }

    private CompletableFuture<Void> ping(Member target, Runnable onAnswer) {
        return callPing(target)
                .thenAcceptAsync(
                        reply -> {
                            onAnswer.run();
                            acceptGossip(
                                    target.nodeId(),
                                    reply.envelope().getAcknowledgement().getGossip());
                        },
                        control);
    }

    private CompletableFuture<PeerLink.Reply> callPing(Member target) {
        Envelope message = Envelope.newBuilder()
                .setPing(Ping.newBuilder().setGossip(gossip()))
                .build();
        return links.call(
                target.nodeId(),
                target.endpoint(),
                message,
                timing.probeTimeout().millis());
    }

    private Envelope.Builder acknowledgement(boolean reached) {
        return Envelope.newBuilder()
                .setAcknowledgement(
                        Acknowledgement.newBuilder().setReached(reached).setGossip(gossip()));
    }

    private Gossip gossip() {
        Gossip.Builder gossip = Gossip.newBuilder().setConfigurationRevision(extension.revision());
        int fleetSize = table.all().size();
        pendingRecords.take(MAXIMUM_RECORDS_PER_MESSAGE, fleetSize).stream()
                .map(MessageCodec::encode)
                .forEach(gossip::addMembers);
        extension.addUpdates(gossip, fleetSize);
        return gossip.build();
    }

    private void changeState(String nodeId, State state) {
        table.find(nodeId).map(member -> member.withState(state)).ifPresent(member -> {
            LOG.infof("node '%s' is now %s", nodeId, state);
            merge(member);
        });
    }

    private boolean acceptSyncReply(SyncReply reply) {
        mergeAll(reply.getMembersList());
        extension.acceptSyncReply(reply);
        return true;
    }

    private void mergeAll(List<MemberRecord> records) {
        records.stream().map(MessageCodec::decode).forEach(this::merge);
    }

    private void merge(Member member) {
        if (member.nodeId().equals(self.nodeId())) {
            refuteIfNeeded(member);
        } else if (table.merge(control.nowMillis(), member)) {
            pendingRecords.add(member.nodeId(), member);
            tableChanged();
        }
    }

    private void refuteIfNeeded(Member claimed) {
        if (claimed.incarnation() == self.incarnation() && claimed.supersedes(self)) {
            LOG.infof("refuting a record that says this node is %s", claimed.state());
            self = new Member(
                    self.nodeId(),
                    self.incarnation(),
                    claimed.version(),
                    self.state(),
                    self.endpoint(),
                    self.location(),
                    self.successor(),
                    self.upstreams());
            publish(self.state(), self.successor(), self.upstreams());
        }
    }

    private void tableChanged() {
        generation++;
        listeners.forEach(Runnable::run);
    }

    private List<Member> reachablePeers() {
        return table.reachable()
                .filter(member -> !member.nodeId().equals(self.nodeId()))
                .toList();
    }

    private List<Member> probeTargets() {
        List<Member> reachablePeers = reachablePeers();
        List<Member> localPeers = reachablePeers.stream()
                .filter(member ->
                        member.location().dataCentre().equals(self.location().dataCentre()))
                .toList();
        return localPeers.size() < MINIMUM_LOCAL_PROBE_TARGETS ? reachablePeers : localPeers;
    }

    private void gossipToOtherDataCentre() {
        List<Member> remotePeers = reachablePeers().stream()
                .filter(member ->
                        !member.location().dataCentre().equals(self.location().dataCentre()))
                .toList();
        if (!remotePeers.isEmpty() && pendingRecords.size() + extension.pendingUpdates() > 0) {
            ping(
                    remotePeers.get(Math.floorMod(
                            crossDataCentreSends++ * 7 + random.nextInt(remotePeers.size()), remotePeers.size())),
                    () -> {});
        }
    }

    private java.util.Optional<Member> randomPeer() {
        List<Member> reachablePeers = reachablePeers();
        return reachablePeers.isEmpty()
                ? java.util.Optional.empty()
                : java.util.Optional.of(reachablePeers.get(random.nextInt(reachablePeers.size())));
    }
}
