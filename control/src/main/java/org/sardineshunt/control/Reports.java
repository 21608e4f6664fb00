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

/** Formats the reports of a node as text. */
final class Reports {
    private Reports() {}

    static String status(Status status) {
        TextTable members = new TextTable("NODE", "STATE", "DATA CENTRE", "UPSTREAMS");
        status.members()
                .forEach(member ->
                        members.addRow(member.node(), member.state(), member.dataCentre(), member.upstreams()));
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
        overrides.intents().forEach(intent -> addIntentRow(table, intent, nowEpochMillis));
        String behindLines = overrides.nodesBehind().stream()
                .map(node -> "\nbehind: " + node.node() + " holds revision " + node.revision())
                .collect(Collectors.joining());
        String notHeardLine = overrides.nodesNotHeard().isEmpty()
                ? ""
                : "\nnot heard yet: " + String.join(", ", overrides.nodesNotHeard());
        return "revision " + overrides.revision() + ", " + overrides.intents().size() + " intents, "
                + overrides.conflicts().size() + " conflicts\n" + table.render() + behindLines + notHeardLine;
    }

    static String services(List<ServiceReport> services) {
        TextTable table = new TextTable("SERVICE", "UPSTREAMS", "SLOTS", "IN USE", "FLOOR");
        services.forEach(service -> table.addRow(
                service.service(), service.upstreams(), service.slots(), service.slotsInUse(), service.floorSlots()));
        return table.render();
    }

    static String explanation(Explanation explanation) {
        TextTable table = new TextTable("UPSTREAM", "NODE", "SLOTS", "USE", "HEALTH", "CAUSE", "INTENTS");
        explanation
                .upstreams()
                .forEach(upstream -> table.addRow(
                        upstream.upstream(),
                        upstream.node(),
                        upstream.slots(),
                        upstream.use(),
                        upstream.condition(),
                        upstream.cause(),
                        joinNames(upstream.intents())));
        return services(List.of(explanation.summary())) + "\n\n" + table.render();
    }

    static String digest(Digest digest, long nowEpochMillis) {
        String changes = digest.changes().isEmpty()
                ? "no changes since " + Instant.ofEpochMilli(digest.sinceEpochMillis())
                : digest.changes().stream().map(Reports::formatChange).collect(Collectors.joining("\n"));
        return "Changes\n" + changes + "\n\nIn force now\n" + overrides(digest.overrides(), nowEpochMillis);
    }

    static String changeResult(ChangeResult result) {
        String otherChanges = result.others().stream()
                .map(change -> "\nchanged meanwhile: " + formatChange(change))
                .collect(Collectors.joining());
        return (result.accepted() ? "accepted" : "refused (" + result.verdict() + ")") + ", revision "
                + result.revision() + ": " + result.detail() + otherChanges;
    }

    private static String formatChange(ChangeReport change) {
        return "revision " + change.revision() + " at " + Instant.ofEpochMilli(change.acceptedEpochMillis()) + ": "
                + change.description();
    }

    private static void addIntentRow(TextTable table, IntentReport intent, long nowEpochMillis) {
        table.addRow(
                intent.id(),
                (intent.action() + ' ' + intent.argument()).strip(),
                intent.selector(),
                intent.state(),
                formatAge(nowEpochMillis - intent.createdEpochMillis()),
                intent.author(),
                intent.reason(),
                joinNames(intent.matches()),
                joinNames(intent.heldByFloor()),
                joinNames(intent.displacedBy()));
    }

    private static String formatAge(long millis) {
        Duration age = Duration.ofMillis(Math.max(0, millis));
        return age.toHours() > 0
                ? age.toHours() + "h"
                : age.toMinutes() > 0 ? age.toMinutes() + "m" : age.toSeconds() + "s";
    }

    private static String joinNames(List<String> names) {
        return names.isEmpty() ? "-" : String.join(",", names);
    }
}
