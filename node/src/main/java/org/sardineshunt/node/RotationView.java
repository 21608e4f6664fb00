package org.sardineshunt.node;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

import org.sardineshunt.coordination.intent.Intent;
import org.sardineshunt.coordination.intent.IntentSet;
import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.coordination.membership.MemberTable;
import org.sardineshunt.coordination.membership.UpstreamInfo;
import org.sardineshunt.coordination.rotation.Candidate;
import org.sardineshunt.coordination.rotation.Rotation;
import org.sardineshunt.coordination.rotation.RotationDecision;
import org.sardineshunt.node.platform.ConfigurationService;

/**
 * Rotations of the services as this node sees them, computed on demand and cached until the members or the intents
 * change. Confined to the control thread.
 */
public final class RotationView {
    // The expiry of an intent invalidates no cached rotation, so cached rotations expire as well.
    private static final long MAXIMUM_AGE_MILLIS = 1_000;

    private final MemberTable members;
    private final ConfigurationService configuration;
    private final double defaultFloorShare;
    private final ControlThread control;
    private final Map<String, ServiceView> views = new HashMap<>();

    /**
     * Creates a view of a member table and the intents in force.
     *
     * @param defaultFloorShare floor share of a service that no intent sets
     */
    public RotationView(
            MemberTable members, ConfigurationService configuration, double defaultFloorShare, ControlThread control) {
        this.members = members;
        this.configuration = configuration;
        this.defaultFloorShare = defaultFloorShare;
        this.control = control;
    }

    /** Drops all cached rotations. */
    public void invalidate() {
        views.clear();
    }

    /** Returns the rotation of a service, without upstreams if no node serves it. */
    public ServiceView of(String service) {
        ServiceView cached = views.get(service);
        if (cached != null && control.nowMillis() - cached.computedAtMillis() < MAXIMUM_AGE_MILLIS) {
            return cached;
        }
        ServiceView computed = compute(service);
        views.put(service, computed);
        return computed;
    }

    /** Returns the names of all services that some node serves, in alphabetical order. */
    public List<String> services() {
        return members.services().stream().sorted().toList();
    }

    private ServiceView compute(String service) {
        List<LocatedUpstream> located = members.homes(service).stream()
                .flatMap(member -> locatedUpstreams(member, service))
                .sorted(Comparator.comparing(entry -> entry.upstream().id()))
                .toList();
        double floorShare = configuration.floorShare(service, defaultFloorShare, System.currentTimeMillis());
        Rotation rotation = Rotation.builder().floorShare(floorShare).build();
        List<Candidate> candidates =
                located.stream().map(LocatedUpstream::candidate).toList();
        return new ServiceView(
                service,
                control.nowMillis(),
                floorShare,
                rotation.floorSlots(candidates),
                located,
                rotation.decide(candidates));
    }

    private Stream<LocatedUpstream> locatedUpstreams(Member member, String service) {
        return member.upstreams().stream()
                .filter(upstream -> upstream.service().equals(service))
                .map(upstream -> new LocatedUpstream(member, upstream, candidate(member, upstream)));
    }

    private Candidate candidate(Member member, UpstreamInfo upstream) {
        IntentSet intents = configuration.intents();
        List<Intent> selectingIntents = upstream.intentIds().stream()
                .map(id -> intents.find(id).getOrNull())
                .filter(Objects::nonNull)
                .filter(intent -> intent.inForce(System.currentTimeMillis()))
                .sorted(Comparator.comparingLong(Intent::revision).reversed())
                .toList();
        return new Candidate(
                upstream.id(),
                upstream.slots(),
                upstream.condition(),
                upstream.severity(),
                IntentSet.override(selectingIntents),
                upstream.leaving(),
                member.isReachable());
    }

    /**
     * An upstream and its home node.
     *
     * @param member the home node
     * @param upstream the upstream as its home node describes it
     * @param candidate input of the rotation for this upstream
     */
    public record LocatedUpstream(Member member, UpstreamInfo upstream, Candidate candidate) {}

    /**
     * The rotation of one service.
     *
     * @param service its name
     * @param computedAtMillis monotonic time of the computation
     * @param floorShare share of the announced capacity that stays in use
     * @param floorSlots slots that stay in use
     * @param upstreams all upstreams, sorted by id
     * @param decisions what work each upstream receives, by upstream id
     */
    public record ServiceView(
            String service,
            long computedAtMillis,
            double floorShare,
            int floorSlots,
            List<LocatedUpstream> upstreams,
            Map<String, RotationDecision> decisions) {
        /** Returns the upstreams for which the rotation decided this use, sorted by id. */
        public List<LocatedUpstream> upstreamsWith(RotationDecision.Use use) {
            return upstreams.stream()
                    .filter(located -> decisions.get(located.upstream().id()).use() == use)
                    .toList();
        }

        /** Returns the slots of the upstreams in full use. */
        public int slotsInUse() {
            return upstreamsWith(RotationDecision.Use.FULL).stream()
                    .mapToInt(located -> located.upstream().slots())
                    .sum();
        }
    }
}
