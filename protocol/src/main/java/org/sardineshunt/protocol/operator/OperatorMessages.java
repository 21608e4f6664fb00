package org.sardineshunt.protocol.operator;

import java.util.List;

/** Messages between nodes and operators. Component names are the keys of their JSON form. */
public final class OperatorMessages {
    private OperatorMessages() {}

    /**
     * State of a node, with its view of the fleet.
     *
     * @param node id of the node
     * @param dataCentre data centre of the node
     * @param region region of the data centre
     * @param ready whether the node serves callers
     * @param revision revision of the intents that the node has
     * @param intentsInForce number of intents in force
     * @param members all nodes in the member table of the node
     * @param crashingRequests fingerprints of requests that are refused because they crashed upstreams
     */
    public record Status(
            String node,
            String dataCentre,
            String region,
            boolean ready,
            long revision,
            long intentsInForce,
            List<MemberReport> members,
            List<String> crashingRequests) {}

    /**
     * A node in the member table of the reporting node.
     *
     * @param node id of the node
     * @param state state of the node in the member table, in lower case, for example {@code alive}
     * @param dataCentre data centre of the node
     * @param upstreams number of upstreams of which the node is the home
     */
    public record MemberReport(String node, String state, String dataCentre, int upstreams) {}

    /**
     * All intents, and how far they have spread.
     *
     * @param revision revision of the intents that the reporting node has
     * @param intents all intents, including expired ones
     * @param conflicts pairs of intents that contradict each other
     * @param nodesBehind reachable nodes whose last known revision is lower
     * @param nodesNotHeard ids of reachable nodes whose revision is unknown
     */
    public record Overrides(
            long revision,
            List<IntentReport> intents,
            List<ConflictReport> conflicts,
            List<LaggingNodeReport> nodesBehind,
            List<String> nodesNotHeard) {}

    /**
     * One intent and its current effect.
     *
     * @param id id of the intent
     * @param action label of its action
     * @param argument rank or share, by action; may be empty
     * @param selector text form of its selector
     * @param author operator who set it
     * @param reason why the operator set it
     * @param createdEpochMillis when it was set
     * @param endsEpochMillis when it expires; 0 means never
     * @param revision revision that added or replaced it
     * @param state {@code in-force} or {@code expired}
     * @param matches ids of the upstreams, or names of the services, that it selects now; empty if it has expired
     * @param heldByFloor ids of selected upstreams that are not drained because of the capacity floor
     * @param displacedBy ids of later intents that contradict it
     */
    public record IntentReport(
            String id,
            String action,
            String argument,
            String selector,
            String author,
            String reason,
            long createdEpochMillis,
            long endsEpochMillis,
            long revision,
            String state,
            List<String> matches,
            List<String> heldByFloor,
            List<String> displacedBy) {}

    /**
     * Two intents that contradict each other.
     *
     * @param displaced id of the earlier intent, over which the later one takes precedence
     * @param winning id of the later intent
     */
    public record ConflictReport(String displaced, String winning) {}

    /**
     * A node that lacks some of the changes.
     *
     * @param node id of the node
     * @param revision last known revision of its intents
     */
    public record LaggingNodeReport(String node, long revision) {}

    /**
     * Capacity of one service.
     *
     * @param service name of the service
     * @param upstreams number of its upstreams
     * @param slots slots of the upstreams that are reachable and not leaving
     * @param slotsInUse slots of the upstreams in full use
     * @param floorSlots capacity floor: slots that must stay in rotation
     * @param floorShare capacity floor as a share, between 0 and 1
     */
    public record ServiceReport(
            String service, int upstreams, int slots, int slotsInUse, int floorSlots, double floorShare) {}

    /**
     * Rotation of a service, with the cause of each decision.
     *
     * @param summary capacity of the service
     * @param upstreams upstreams of the service, by id
     */
    public record Explanation(ServiceReport summary, List<UpstreamReport> upstreams) {}

    /**
     * One upstream and its place in the rotation.
     *
     * @param upstream id of the upstream
     * @param node id of its home node
     * @param dataCentre data centre of its home node
     * @param slots number of requests that it runs concurrently; 0 while it starts
     * @param use work that it receives: {@code full}, {@code trial} or {@code none}
     * @param cause why it receives that work
     * @param condition condition by its health check
     * @param intents ids of the intents that select it
     */
    public record UpstreamReport(
            String upstream,
            String node,
            String dataCentre,
            int slots,
            String use,
            String cause,
            String condition,
            List<String> intents) {}

    /**
     * One accepted change of the intents.
     *
     * @param revision revision that the change created
     * @param acceptedEpochMillis when it was accepted
     * @param author operator who made it
     * @param description what it changed and why
     */
    public record ChangeReport(long revision, long acceptedEpochMillis, String author, String description) {}

    /**
     * Changes since a time, and the current intents.
     *
     * @param sinceEpochMillis start of the period
     * @param changes changes accepted since then
     * @param overrides all intents at the time of the report
     */
    public record Digest(long sinceEpochMillis, List<ChangeReport> changes, Overrides overrides) {}

    /**
     * Result of a proposed change.
     *
     * @param accepted whether the change was committed
     * @param revision revision of the intents that the node has now
     * @param verdict {@code ran}, {@code not-run} or {@code may-have-run}
     * @param detail description of the change, or why it was not accepted
     * @param others known changes after the revision that the proposal is based on
     */
    public record ChangeResult(
            boolean accepted, long revision, String verdict, String detail, List<ChangeReport> others) {}

    /**
     * An intent that an operator proposes to add or replace.
     *
     * @param id id of the intent
     * @param action label of its action
     * @param argument rank or share, by action; may be null
     * @param selector text form of its selector
     * @param author operator who sets it
     * @param reason why the operator sets it
     * @param lastsMillis milliseconds for which it stays in force; null means until it is removed
     * @param against revision that the proposal is based on; null means the current one
     */
    public record IntentProposal(
            String id,
            String action,
            String argument,
            String selector,
            String author,
            String reason,
            Long lastsMillis,
            Long against) {}
}
