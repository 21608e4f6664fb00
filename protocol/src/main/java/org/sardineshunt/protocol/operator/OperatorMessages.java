package org.sardineshunt.protocol.operator;

import java.util.List;

/** Messages that operators receive as JSON. */
public final class OperatorMessages {
    private OperatorMessages() {}

    /**
     * State of a node and what it knows of the fleet.
     *
     * @param node its name
     * @param dataCentre its data centre
     * @param region its region
     * @param ready whether it serves callers
     * @param revision revision of the intents that it holds
     * @param intentsInForce number of intents in force
     * @param members all known nodes
     * @param crashingRequests fingerprints of requests that are refused because they crash upstreams
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
     * A node as another one knows it.
     *
     * @param node its name
     * @param state whether it is taken to be alive
     * @param dataCentre its data centre
     * @param upstreams number of its upstreams
     */
    public record MemberReport(String node, String state, String dataCentre, int upstreams) {}

    /**
     * All intents.
     *
     * @param revision revision that the node holds
     * @param intents the intents, ended ones included
     * @param conflicts pairs that contradict each other
     * @param nodesBehind nodes that don't hold the revision yet
     * @param nodesNotHeard reachable nodes whose revision isn't known
     */
    public record Overrides(
            long revision,
            List<IntentReport> intents,
            List<ConflictReport> conflicts,
            List<LaggingNodeReport> nodesBehind,
            List<String> nodesNotHeard) {}

    /**
     * One intent and what it does now.
     *
     * @param id its name
     * @param action what it does
     * @param argument rank or share, or empty
     * @param selector what it selects
     * @param author who set it
     * @param reason why
     * @param createdEpochMillis when it was set
     * @param endsEpochMillis when it ends; 0 for never
     * @param revision revision that accepted it
     * @param state {@code in-force} or {@code expired}
     * @param matches upstreams, or services, that it selects now
     * @param heldByFloor selected upstreams that stay in rotation because of the floor
     * @param displacedBy later intents that contradict it
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
     * @param displaced the earlier one, which yields
     * @param winning the later one
     */
    public record ConflictReport(String displaced, String winning) {}

    /**
     * A node that lacks changes.
     *
     * @param node its name
     * @param revision revision that it last named
     */
    public record LaggingNodeReport(String node, long revision) {}

    /**
     * One service.
     *
     * @param service its name
     * @param upstreams number of its upstreams
     * @param slots slots of its reachable upstreams that don't leave
     * @param slotsInUse slots in rotation
     * @param floorSlots slots that must stay in rotation
     * @param floorShare the floor as a share
     */
    public record ServiceReport(
            String service, int upstreams, int slots, int slotsInUse, int floorSlots, double floorShare) {}

    /**
     * Why each upstream of a service is in or out.
     *
     * @param summary the service
     * @param upstreams its upstreams
     */
    public record Explanation(ServiceReport summary, List<UpstreamReport> upstreams) {}

    /**
     * One upstream.
     *
     * @param upstream its name
     * @param node its home node
     * @param dataCentre data centre of its home
     * @param slots its slots
     * @param use {@code full}, {@code trial} or {@code none}
     * @param cause why
     * @param condition its health
     * @param intents intents that select it
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
     * One accepted change.
     *
     * @param revision its revision
     * @param acceptedEpochMillis when it was accepted
     * @param author who made it
     * @param description what it did, and why
     */
    public record ChangeReport(long revision, long acceptedEpochMillis, String author, String description) {}

    /**
     * What changed since a time, and what stands.
     *
     * @param sinceEpochMillis start of the time
     * @param changes accepted changes
     * @param overrides all intents as they stand now
     */
    public record Digest(long sinceEpochMillis, List<ChangeReport> changes, Overrides overrides) {}

    /**
     * Answer to a proposed change.
     *
     * @param accepted whether it is in force
     * @param revision revision that is in force now
     * @param verdict {@code ran}, {@code not-run} or {@code may-have-run}
     * @param detail explanation
     * @param others changes that others made meanwhile
     */
    public record ChangeResult(
            boolean accepted, long revision, String verdict, String detail, List<ChangeReport> others) {}

    /**
     * An intent that an operator wants to add or replace.
     *
     * @param id its name
     * @param action what it does
     * @param argument rank or share; may be absent
     * @param selector text form of its selector
     * @param author who sets it
     * @param reason why
     * @param lastsMillis how long it stays in force; absent for always
     * @param against revision that the operator saw; absent for whatever is in force
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
