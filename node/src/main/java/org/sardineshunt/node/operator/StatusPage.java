package org.sardineshunt.node.operator;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;

import org.sardineshunt.protocol.operator.OperatorMessages.IntentReport;
import org.sardineshunt.protocol.operator.OperatorMessages.Overrides;
import org.sardineshunt.protocol.operator.OperatorMessages.ServiceReport;
import org.sardineshunt.protocol.operator.OperatorMessages.Status;

/** Renders the plain-text status page that every node serves. */
final class StatusPage {
    private StatusPage() {}

    static String render(Status status, Overrides overrides, List<ServiceReport> services, long nowEpochMillis) {
        return "sardineshunt node " + status.node() + " (" + status.dataCentre() + ", " + status.region() + ")\n"
                + (status.ready() ? "ready" : "not ready") + ", revision " + status.revision() + ", "
                + status.members().size() + " nodes known\n\n"
                + "Overrides\n" + intents(overrides, nowEpochMillis) + "\n"
                + "Conflicts\n" + conflicts(overrides) + "\n"
                + "Nodes behind revision " + overrides.revision() + "\n" + nodesBehind(overrides) + "\n"
                + "Services\n" + services(services);
    }

    private static String intents(Overrides overrides, long nowEpochMillis) {
        return orNone(overrides.intents().stream().map(intent -> intent(intent, nowEpochMillis)));
    }

    private static String intent(IntentReport intent, long nowEpochMillis) {
        Duration age = Duration.ofMillis(Math.max(0, nowEpochMillis - intent.createdEpochMillis()));
        return "  " + intent.id() + ": " + intent.action() + ' ' + intent.argument()
                + (intent.argument().isEmpty() ? "" : " ") + "on " + intent.selector() + " (" + intent.state() + ")\n"
                + "    by " + intent.author() + ", " + age.toMinutes() + " min ago: " + intent.reason() + "\n"
                + "    matches now: " + joinOrNone(intent.matches()) + "\n"
                + "    held back by the floor: " + joinOrNone(intent.heldByFloor()) + "\n"
                + "    displaced by: " + joinOrNone(intent.displacedBy()) + "\n";
    }

    private static String conflicts(Overrides overrides) {
        return orNone(overrides.conflicts().stream()
                .map(conflict -> "  " + conflict.winning() + " displaces " + conflict.displaced() + "\n"));
    }

    private static String nodesBehind(Overrides overrides) {
        return orNone(overrides.nodesBehind().stream()
                .map(node -> "  " + node.node() + " holds revision " + node.revision() + "\n"));
    }

    private static String services(List<ServiceReport> services) {
        return orNone(services.stream()
                .map(service -> "  " + service.service() + ": " + service.slotsInUse() + " of " + service.slots()
                        + " slots in use, floor " + service.floorSlots() + "\n"));
    }

    private static String orNone(java.util.stream.Stream<String> lines) {
        String text = lines.collect(Collectors.joining());
        return text.isEmpty() ? "  none\n" : text;
    }

    private static String joinOrNone(List<String> names) {
        return names.isEmpty() ? "none" : String.join(", ", names);
    }
}
