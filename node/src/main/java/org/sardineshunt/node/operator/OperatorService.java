package org.sardineshunt.node.operator;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.intent.Intent;
import org.sardineshunt.coordination.intent.IntentChange;
import org.sardineshunt.kit.HttpCall;
import org.sardineshunt.kit.HttpReply;
import org.sardineshunt.kit.Json;
import org.sardineshunt.node.NodeSettings;
import org.sardineshunt.node.RotationView;
import org.sardineshunt.node.backendserver.Announcement;
import org.sardineshunt.node.backendserver.HomeService;
import org.sardineshunt.node.backendserver.HomeService.HomeContext;
import org.sardineshunt.node.peer.MembershipService;
import org.sardineshunt.node.platform.ConfigurationService;
import org.sardineshunt.node.platform.ConfigurationService.Refusal;
import org.sardineshunt.protocol.operator.OperatorReports.ChangeResult;
import org.sardineshunt.protocol.operator.OperatorReports.Digest;
import org.sardineshunt.protocol.operator.OperatorReports.IntentProposal;
import org.sardineshunt.protocol.operator.OperatorReports.Status;

/** Endpoints for operators, announcements and metrics. Thread-safe: decisions run on the control thread. */
public final class OperatorService {
    private static final int MOST_NODES_ASKED = 300;
    private static final int SPREAD_AT_ONCE = 6;

    private final HomeContext context;
    private final MembershipService membership;
    private final ConfigurationService configuration;
    private final HomeService home;
    private final FleetReporter reporter;
    private final BooleanSupplier ready;

    /** Creates the endpoints of a node. */
    public OperatorService(
            HomeContext context,
            MembershipService membership,
            ConfigurationService configuration,
            RotationView rotations,
            HomeService home,
            BooleanSupplier ready) {
        this.context = context;
        this.membership = membership;
        this.configuration = configuration;
        this.home = home;
        this.reporter = new FleetReporter(membership, configuration, rotations);
        this.ready = ready;
    }

    /** Answers a request to the operator port. */
    public CompletionStage<HttpReply> handle(HttpCall call) {
        String route = call.method() + ' ' + call.path().replaceFirst("(/operator/(?:overrides|services)/).+", "$1*");
        return switch (route) {
            case "POST /announcements" -> announce(call);
            case "GET /health" -> done(HttpReply.text(ready.getAsBoolean() ? 200 : 503, "text/plain", health()));
            case "GET /metrics" -> metrics();
            case "GET /" -> onControl(this::page);
            case "GET /operator/status" -> json(this::status);
            case "GET /operator/overrides" -> withRevisions(
                    () -> HttpReply.json(200, reporter.overrides(System.currentTimeMillis())));
            case "POST /operator/overrides" -> propose(call);
            case "DELETE /operator/overrides/*" -> remove(call);
            case "GET /operator/services" -> json(reporter::services);
            case "GET /operator/services/*" -> json(() -> reporter.explain(lastSegment(call)));
            case "GET /operator/routes" -> json(() -> context.settings().routes());
            case "GET /operator/settings" -> json(context::settings);
            case "GET /operator/digest" -> digest(call);
            default -> done(HttpReply.problem(404, "no such endpoint", route));
        };
    }

    private CompletionStage<HttpReply> announce(HttpCall call) {
        return Json.read(call.body(), Announcement.class)
                .fold(
                        error -> done(HttpReply.problem(400, "malformed announcement", error)),
                        announcement -> json(() -> new Lease(home.announce(announcement))));
    }

    private String health() {
        return ready.getAsBoolean() ? "ready\n" : "not ready\n";
    }

    private CompletionStage<HttpReply> metrics() {
        return onControl(() -> {
            context.metrics()
                    .registry()
                    .gauge("intents_in_force", "Intents in force")
                    .set(inForce());
            context.metrics()
                    .registry()
                    .gauge("oldest_intent_seconds", "Age of the oldest intent in force")
                    .set(oldestIntentSeconds());
            context.metrics()
                    .registry()
                    .gauge("configuration_revision", "Revision of the intents that this node holds")
                    .set(configuration.intents().revision());
            context.metrics()
                    .registry()
                    .gauge("members_reachable", "Nodes that work may be sent to")
                    .set(membership.table().reachable().count());
            return HttpReply.text(
                    200,
                    "text/plain; version=0.0.4",
                    context.metrics().registry().exposition());
        });
    }

    private double oldestIntentSeconds() {
        long now = System.currentTimeMillis();
        return configuration.intents().all().stream()
                        .filter(intent -> intent.inForce(now))
                        .mapToLong(intent -> now - intent.createdEpochMillis())
                        .max()
                        .orElse(0)
                / 1_000.0;
    }

    private Status status() {
        return new Status(
                context.settings().nodeId(),
                context.settings().dataCentre(),
                context.settings().region(),
                ready.getAsBoolean(),
                configuration.intents().revision(),
                inForce(),
                reporter.members(),
                context.crashes().refused());
    }

    private long inForce() {
        long now = System.currentTimeMillis();
        return configuration.intents().all().stream()
                .filter(intent -> intent.inForce(now))
                .count();
    }

    private CompletionStage<HttpReply> propose(HttpCall call) {
        Either<String, IntentProposal> read = Json.read(call.body(), IntentProposal.class);
        Either<String, Intent> intent = read.flatMap(
                        proposal -> Proposals.toIntent(proposal, System.currentTimeMillis()))
                .flatMap(this::checkRank);
        return intent.fold(
                error -> done(HttpReply.problem(400, "malformed intent", error)),
                valid -> commit(
                        read.get().against(), valid.author(), valid.reason(), Option.some(valid), Option.none()));
    }

    private Either<String, Intent> checkRank(Intent intent) {
        boolean known = context.settings().ranks().stream()
                .map(NodeSettings.RankSettings::name)
                .anyMatch(intent.argument()::equals);
        return intent.action() != Intent.Action.URGENT || known
                ? Either.right(intent)
                : Either.left("intent '" + intent.id() + "' names the unknown rank '" + intent.argument() + "'");
    }

    private CompletionStage<HttpReply> remove(HttpCall call) {
        String id = lastSegment(call);
        String author = call.parameter("author").getOrElse("");
        String reason = call.parameter("reason").getOrElse("");
        if (author.isBlank() || reason.isBlank()) {
            return done(HttpReply.problem(400, "malformed removal", "a removal needs author and reason"));
        }
        Option<Long> against = call.parameter("against")
                .filter(text -> text.matches("\\d{1,15}"))
                .map(Long::parseLong);
        return context.control()
                .ask(() -> configuration.intents().find(id).isDefined())
                .thenCompose(found -> found
                        ? commit(against.getOrNull(), author, reason, Option.none(), Option.some(id))
                        : done(HttpReply.problem(404, "no such intent", "there is no intent '" + id + "'")));
    }

    private CompletionStage<HttpReply> commit(
            Long against, String author, String reason, Option<Intent> put, Option<String> removedId) {
        return context.control()
                .ask(() -> configuration.commit(new IntentChange(
                        (against == null ? configuration.intents().revision() : against) + 1,
                        UUID.randomUUID().toString(),
                        author,
                        reason,
                        System.currentTimeMillis(),
                        put,
                        removedId)))
                .thenCompose(result -> result)
                .thenApplyAsync(this::result, context.control());
    }

    private HttpReply result(Either<Refusal, IntentChange> result) {
        return result.fold(this::refused, change -> {
            membership.spreadNow(SPREAD_AT_ONCE);
            return HttpReply.json(
                    200, new ChangeResult(true, change.revision(), Verdict.RAN.label(), change.describe(), List.of()));
        });
    }

    private HttpReply refused(Refusal refusal) {
        boolean unknown = refusal.kind() == Refusal.Kind.OUTCOME_UNKNOWN;
        int status = refusal.kind() == Refusal.Kind.STALE ? 409 : 503;
        return HttpReply.json(
                status,
                new ChangeResult(
                        false,
                        configuration.intents().revision(),
                        (unknown ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN).label(),
                        refusal.detail(),
                        refusal.others().stream().map(FleetReporter::change).toList()));
    }

    private CompletionStage<HttpReply> digest(HttpCall call) {
        long since = call.parameter("since")
                .filter(text -> text.matches("\\d{1,15}"))
                .map(Long::parseLong)
                .getOrElse(0L);
        return withRevisions(() -> HttpReply.json(
                200, new Digest(since, reporter.changesSince(since), reporter.overrides(System.currentTimeMillis()))));
    }

    private HttpReply page() {
        String text = StatusPage.render(
                status(),
                reporter.overrides(System.currentTimeMillis()),
                reporter.services(),
                System.currentTimeMillis());
        return HttpReply.text(200, "text/plain; charset=utf-8", text);
    }

    private CompletionStage<HttpReply> withRevisions(Supplier<HttpReply> report) {
        return context.control()
                .ask(() -> membership.refreshRevisions(MOST_NODES_ASKED))
                .thenCompose(refreshed -> refreshed)
                .thenCompose(refreshed -> onControl(report));
    }

    private CompletionStage<HttpReply> json(Supplier<?> report) {
        return onControl(() -> HttpReply.json(200, report.get()));
    }

    private CompletionStage<HttpReply> onControl(Supplier<HttpReply> report) {
        return context.control().ask(report);
    }

    private static CompletionStage<HttpReply> done(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private static String lastSegment(HttpCall call) {
        return call.path().substring(call.path().lastIndexOf('/') + 1);
    }

    private record Lease(long leaseMillis) {}
}
