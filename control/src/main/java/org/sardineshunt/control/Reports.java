package org.sardineshunt.control;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;

import org.sardineshunt.protocol.operator.OperatorMessages.ChangeReport;
import org.sardineshunt.protocol.operator.OperatorMessages.ChangeResult;
import org.sardineshunt.protocol.operator.OperatorMessages.Digest;
import org.sardineshunt.protocol.operator.OperatorMessages.Explanation;
import org.sardineshunt.protocol.operator.OperatorMessages.IntentReport;
import org.sardineshunt.protocol.operator.OperatorMessages.Overrides;
import org.sardineshunt.protocol.operator.OperatorMessages.ServiceReport;
import org.sardineshunt.protocol.operator.OperatorMessages.Status;

/** Text forms of reports. */
final class Reports {
    private Reports() {}

    static String status(Status status) {
        TextTable members = new TextTable("NODE", "STATE", "DATA CENTRE", "UPSTREAMS");
        status.members()
                .forEach(member -> members.row(member.node(), member.state(), member.dataCentre(), member.upstreams()));
        return "node " + status.node() + " in " + status.dataCentre() + ": " + (status.ready() ? "ready" : "not ready")
                + ", revision " + status.revision() + ", " + status.intentsInForce() + " intents in force, "
                + status.crashingRequests().size() + " crashing requests refused\n" + members.render();
    }

    static String overrides(Overrides overrides, long nowEpochMillis) {
        TextTable table = new TextTable(
                "ID",
                "ACTION",
                "SELECTOR",
                "STATE",
                "AGE",
                "AUTHOR",
                "REASON",
                "MATCHES",
                "HELD BY FLOOR",
                "DISPLACED BY");
        overrides.intents().forEach(intent -> row(table, intent, nowEpochMillis));
        String behind = overrides.nodesBehind().stream()
                .map(node -> "\nbehind: " + node.node() + " holds revision " + node.revision())
                .collect(Collectors.joining());
        String unheard = overrides.nodesNotHeard().isEmpty()
                ? ""
                : "\nnot heard yet: " + String.join(", ", overrides.nodesNotHeard());
        return "revision " + overrides.revision() + ", " + overrides.intents().size() + " intents, "
                + overrides.conflicts().size() + " conflicts\n" + table.render() + behind + unheard;
    }

    static String services(List<ServiceReport> services) {
        TextTable table = new TextTable("SERVICE", "UPSTREAMS", "SLOTS", "IN USE", "FLOOR");
        services.forEach(service -> table.row(
                service.service(), service.upstreams(), service.slots(), service.slotsInUse(), service.floorSlots()));
        return table.render();
    }

    static String explanation(Explanation explanation) {
        TextTable table = new TextTable("UPSTREAM", "NODE", "SLOTS", "USE", "HEALTH", "CAUSE", "INTENTS");
        explanation
                .upstreams()
                .forEach(upstream -> table.row(
                        upstream.upstream(),
                        upstream.node(),
                        upstream.slots(),
                        upstream.use(),
                        upstream.condition(),
                        upstream.cause(),
                        names(upstream.intents())));
        return services(List.of(explanation.summary())) + "\n\n" + table.render();
    }

    static String digest(Digest digest, long nowEpochMillis) {
        String changes = digest.changes().isEmpty()
                ? "no changes since " + Instant.ofEpochMilli(digest.sinceEpochMillis())
                : digest.changes().stream().map(Reports::change).collect(Collectors.joining("\n"));
        return "Changes\n" + changes + "\n\nIn force now\n" + overrides(digest.overrides(), nowEpochMillis);
    }

    static String result(ChangeResult result) {
        String others = result.others().stream()
                .map(change -> "\nchanged meanwhile: " + change(change))
                .collect(Collectors.joining());
        return (result.accepted() ? "accepted" : "refused (" + result.verdict() + ")") + ", revision "
                + result.revision() + ": " + result.detail() + others;
    }

    private static String change(ChangeReport change) {
        return "revision " + change.revision() + " at " + Instant.ofEpochMilli(change.acceptedEpochMillis()) + ": "
                + change.description();
    }

    private static void row(TextTable table, IntentReport intent, long nowEpochMillis) {
        table.row(
                intent.id(),
                (intent.action() + ' ' + intent.argument()).strip(),
                intent.selector(),
                intent.state(),
                age(nowEpochMillis - intent.createdEpochMillis()),
                intent.author(),
                intent.reason(),
                names(intent.matches()),
                names(intent.heldByFloor()),
                names(intent.displacedBy()));
    }

    private static String age(long millis) {
        Duration age = Duration.ofMillis(Math.max(0, millis));
        return age.toHours() > 0
                ? age.toHours() + "h"
                : age.toMinutes() > 0 ? age.toMinutes() + "m" : age.toSeconds() + "s";
    }

    private static String names(List<String> names) {
        return names.isEmpty() ? "-" : String.join(",", names);
    }
}
