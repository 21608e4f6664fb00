package org.sardineshunt.node.operator;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

import org.sardineshunt.coordination.intent.Intent;
import org.sardineshunt.coordination.intent.IntentChange;
import org.sardineshunt.coordination.intent.IntentSet;
import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.coordination.rotation.RotationDecision;
import org.sardineshunt.node.RotationView;
import org.sardineshunt.node.RotationView.LocatedUpstream;
import org.sardineshunt.node.RotationView.ServiceView;
import org.sardineshunt.node.peer.MembershipService;
import org.sardineshunt.node.platform.ConfigurationService;
import org.sardineshunt.protocol.operator.OperatorMessages.ChangeReport;
import org.sardineshunt.protocol.operator.OperatorMessages.ConflictReport;
import org.sardineshunt.protocol.operator.OperatorMessages.Explanation;
import org.sardineshunt.protocol.operator.OperatorMessages.IntentReport;
import org.sardineshunt.protocol.operator.OperatorMessages.LaggingNodeReport;
import org.sardineshunt.protocol.operator.OperatorMessages.MemberReport;
import org.sardineshunt.protocol.operator.OperatorMessages.Overrides;
import org.sardineshunt.protocol.operator.OperatorMessages.ServiceReport;
import org.sardineshunt.protocol.operator.OperatorMessages.UpstreamReport;

/** Builds the operator reports from the state that this node holds. Confined to the control thread. */
final class FleetReporter {
    private final MembershipService membership;
    private final ConfigurationService configuration;
    private final RotationView rotations;

    FleetReporter(MembershipService membership, ConfigurationService configuration, RotationView rotations) {
        this.membership = membership;
        this.configuration = configuration;
        this.rotations = rotations;
    }

    List<MemberReport> members() {
        return membership.table().all().stream()
                .map(member -> new MemberReport(
                        member.nodeId(),
                        toLabel(member.state()),
                        member.location().dataCentre(),
                        member.upstreams().size()))
                .toList();
    }

    Overrides overrides(long epochMillis) {
        IntentSet intents = configuration.intents();
        List<ConflictReport> conflicts = intents.conflicts(epochMillis).stream()
                .map(conflict -> new ConflictReport(conflict.displacedId(), conflict.winningId()))
                .toList();
        List<ServiceView> views =
                rotations.services().stream().map(rotations::of).toList();
        List<IntentReport> reports = intents.all().stream()
                .map(intent -> intentReport(intent, epochMillis, conflicts, views))
                .toList();
        return new Overrides(intents.revision(), reports, conflicts, nodesBehind(), nodesNotHeard());
    }

    List<ServiceReport> services() {
        return rotations.services().stream()
                .map(service -> serviceReport(rotations.of(service)))
                .toList();
    }

    Explanation explain(String service) {
        ServiceView view = rotations.of(service);
        List<UpstreamReport> upstreams = view.upstreams().stream()
                .map(located -> upstreamReport(
                        located, view.decisions().get(located.upstream().id())))
                .toList();
        return new Explanation(serviceReport(view), upstreams);
    }

    List<ChangeReport> changesSince(long epochMillis) {
        return configuration.changesSince(epochMillis).stream()
                .map(FleetReporter::changeReport)
                .toList();
    }

    static ChangeReport changeReport(IntentChange change) {
        return new ChangeReport(change.revision(), change.acceptedEpochMillis(), change.author(), change.describe());
    }

    private IntentReport intentReport(
            Intent intent, long epochMillis, List<ConflictReport> conflicts, List<ServiceView> views) {
        boolean inForce = intent.inForce(epochMillis);
        boolean selectsServices = intent.action() == Intent.Action.URGENT || intent.action() == Intent.Action.FLOOR;
        List<String> matches = !inForce
                ? List.of()
                : selectsServices ? matchingServices(intent, views) : matchingUpstreams(intent, views);
        return new IntentReport(
                intent.id(),
                intent.action().label(),
                intent.argument(),
                intent.selector().text(),
                intent.author(),
                intent.reason(),
                intent.createdEpochMillis(),
                intent.endsEpochMillis(),
                intent.revision(),
                inForce ? "in-force" : "expired",
                matches,
                inForce ? heldByFloor(intent, views) : List.of(),
                conflicts.stream()
                        .filter(conflict -> conflict.displaced().equals(intent.id()))
                        .map(ConflictReport::winning)
                        .toList());
    }

    private static List<String> matchingServices(Intent intent, List<ServiceView> views) {
        return views.stream()
                .map(ServiceView::service)
                .filter(service -> intent.selector().matches(Map.of("service", service)))
                .toList();
    }

    private static List<String> matchingUpstreams(Intent intent, List<ServiceView> views) {
        return selectedUpstreams(intent, views)
                .map(located -> located.upstream().id())
                .toList();
    }

    private static List<String> heldByFloor(Intent intent, List<ServiceView> views) {
        return views.stream()
                .flatMap(view -> selectedUpstreams(intent, List.of(view))
                        .map(located -> view.decisions().get(located.upstream().id())))
                .filter(placement -> placement.cause() == RotationDecision.Cause.DRAIN_HELD_BY_FLOOR)
                .map(RotationDecision::id)
                .toList();
    }

    private static Stream<LocatedUpstream> selectedUpstreams(Intent intent, List<ServiceView> views) {
        return views.stream()
                .flatMap(view -> view.upstreams().stream())
                .filter(located -> located.member().isReachable())
                .filter(located -> located.upstream().intentIds().contains(intent.id()));
    }

    private List<LaggingNodeReport> nodesBehind() {
        long revision = configuration.intents().revision();
        return membership.knownRevisions().entrySet().stream()
                .filter(entry -> entry.getValue() < revision)
                .filter(entry -> membership
                        .table()
                        .find(entry.getKey())
                        .filter(Member::isReachable)
                        .isPresent())
                .map(entry -> new LaggingNodeReport(entry.getKey(), entry.getValue()))
                .sorted(Comparator.comparing(LaggingNodeReport::node))
                .toList();
    }

    private List<String> nodesNotHeard() {
        Map<String, Long> known = membership.knownRevisions();
        return membership
                .table()
                .reachable()
                .map(Member::nodeId)
                .filter(nodeId -> !nodeId.equals(membership.self().nodeId()))
                .filter(nodeId -> !known.containsKey(nodeId))
                .toList();
    }

    private static ServiceReport serviceReport(ServiceView view) {
        int slots = view.upstreams().stream()
                .filter(located ->
                        located.member().isReachable() && !located.upstream().leaving())
                .mapToInt(located -> located.upstream().slots())
                .sum();
        return new ServiceReport(
                view.service(),
                view.upstreams().size(),
                slots,
                view.slotsInUse(),
                view.floorSlots(),
                view.floorShare());
    }

    private static UpstreamReport upstreamReport(LocatedUpstream located, RotationDecision placement) {
        return new UpstreamReport(
                located.upstream().id(),
                located.member().nodeId(),
                located.member().location().dataCentre(),
                located.upstream().slots(),
                toLabel(placement.use()),
                placement.cause().text(),
                toLabel(located.upstream().condition()),
                located.upstream().intentIds());
    }

    private static String toLabel(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
