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
import org.sardineshunt.kit.HttpRequest;
import org.sardineshunt.kit.HttpResponse;
import org.sardineshunt.kit.Json;
import org.sardineshunt.node.NodeSettings;
import org.sardineshunt.node.RotationView;
import org.sardineshunt.node.backendserver.Announcement;
import org.sardineshunt.node.backendserver.HomeService;
import org.sardineshunt.node.backendserver.HomeService.NodeContext;
import org.sardineshunt.node.peer.MembershipService;
import org.sardineshunt.node.platform.ConfigurationService;
import org.sardineshunt.node.platform.ConfigurationService.Refusal;
import org.sardineshunt.protocol.operator.OperatorMessages.ChangeResult;
import org.sardineshunt.protocol.operator.OperatorMessages.Digest;
import org.sardineshunt.protocol.operator.OperatorMessages.IntentProposal;
import org.sardineshunt.protocol.operator.OperatorMessages.Status;

/**
 * HTTP endpoints for operators, announcements of backend servers and metrics. Thread-safe: reads and changes of state
 * run on the control thread.
 */
public final class OperatorService {
    private static final int MAXIMUM_NODES_QUERIED = 300;
    private static final int GOSSIP_FANOUT = 6;

    private final NodeContext context;
    private final MembershipService membership;
    private final ConfigurationService configuration;
    private final HomeService home;
    private final FleetReporter reporter;
    private final BooleanSupplier ready;

    /**
     * Creates the endpoints of a node.
     *
     * @param ready whether the node is ready to serve callers; called from any thread
     */
    public OperatorService(
            NodeContext context,
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

    /** Handles a request to the operator port; an unknown method or path is answered with status 404. */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        String endpoint =
                request.method() + ' ' + request.path().replaceFirst("(/operator/(?:overrides|services)/).+", "$1*");
        return switch (endpoint) {
            case "POST /announcements" -> announce(request);
            case "GET /health" -> completed(
                    HttpResponse.text(ready.getAsBoolean() ? 200 : 503, "text/plain", readinessText()));
            case "GET /metrics" -> metrics();
            case "GET /" -> onControlThread(this::statusPage);
            case "GET /operator/status" -> jsonResponse(this::status);
            case "GET /operator/overrides" -> withFreshRevisions(
                    () -> HttpResponse.json(200, reporter.overrides(System.currentTimeMillis())));
            case "POST /operator/overrides" -> propose(request);
            case "DELETE /operator/overrides/*" -> remove(request);
            case "GET /operator/services" -> jsonResponse(reporter::services);
            case "GET /operator/services/*" -> jsonResponse(() -> reporter.explain(lastPathSegment(request)));
            case "GET /operator/routes" -> jsonResponse(() -> context.settings().routes());
            case "GET /operator/settings" -> jsonResponse(context::settings);
            case "GET /operator/digest" -> digest(request);
            default -> completed(HttpResponse.problem(404, "no such endpoint", endpoint));
        };
    }

    private CompletionStage<HttpResponse> announce(HttpRequest request) {
        return Json.read(request.body(), Announcement.class)
                .fold(
                        error -> completed(HttpResponse.problem(400, "malformed announcement", error)),
                        announcement -> jsonResponse(() -> new Lease(home.announce(announcement))));
    }

    private String readinessText() {
        return ready.getAsBoolean() ? "ready\n" : "not ready\n";
    }

    private CompletionStage<HttpResponse> metrics() {
        return onControlThread(() -> {
            context.metrics()
                    .registry()
                    .gauge("intents_in_force", "Intents in force")
                    .set(countIntentsInForce());
            context.metrics()
                    .registry()
                    .gauge("oldest_intent_seconds", "Age of the oldest intent in force")
                    .set(oldestIntentAgeSeconds());
            context.metrics()
                    .registry()
                    .gauge("configuration_revision", "Revision of the intents that this node holds")
                    .set(configuration.intents().revision());
            context.metrics()
                    .registry()
                    .gauge("members_reachable", "Nodes that work may be sent to")
                    .set(membership.table().reachable().count());
            return HttpResponse.text(
                    200,
                    "text/plain; version=0.0.4",
                    context.metrics().registry().exposition());
        });
    }

    private double oldestIntentAgeSeconds() {
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
                countIntentsInForce(),
                reporter.members(),
                context.crashes().refusedFingerprints());
    }

    private long countIntentsInForce() {
        long now = System.currentTimeMillis();
        return configuration.intents().all().stream()
                .filter(intent -> intent.inForce(now))
                .count();
    }

    private CompletionStage<HttpResponse> propose(HttpRequest request) {
        Either<String, IntentProposal> parsed = Json.read(request.body(), IntentProposal.class);
        Either<String, Intent> intent = parsed.flatMap(
                        proposal -> Proposals.toIntent(proposal, System.currentTimeMillis()))
                .flatMap(this::checkRank);
        return intent.fold(
                error -> completed(HttpResponse.problem(400, "malformed intent", error)),
                valid -> commit(
                        parsed.get().against(), valid.author(), valid.reason(), Option.some(valid), Option.none()));
    }

    private Either<String, Intent> checkRank(Intent intent) {
        boolean rankExists = context.settings().ranks().stream()
                .map(NodeSettings.RankSettings::name)
                .anyMatch(intent.argument()::equals);
        return intent.action() != Intent.Action.URGENT || rankExists
                ? Either.right(intent)
                : Either.left("intent '" + intent.id() + "' names the unknown rank '" + intent.argument() + "'");
    }

    private CompletionStage<HttpResponse> remove(HttpRequest request) {
        String id = lastPathSegment(request);
        String author = request.queryParameter("author").getOrElse("");
        String reason = request.queryParameter("reason").getOrElse("");
        if (author.isBlank() || reason.isBlank()) {
            return completed(HttpResponse.problem(400, "malformed removal", "a removal needs author and reason"));
        }
        Option<Long> baseRevision = request.queryParameter("against")
                .filter(text -> text.matches("\\d{1,15}"))
                .map(Long::parseLong);
        return context.control()
                .submit(() -> configuration.intents().find(id).isDefined())
                .thenCompose(found -> found
                        ? commit(baseRevision.getOrNull(), author, reason, Option.none(), Option.some(id))
                        : completed(HttpResponse.problem(404, "no such intent", "there is no intent '" + id + "'")));
    }

    private CompletionStage<HttpResponse> commit(
            Long baseRevision, String author, String reason, Option<Intent> put, Option<String> removedId) {
        return context.control()
                .submit(() -> configuration.commit(new IntentChange(
                        (baseRevision == null ? configuration.intents().revision() : baseRevision) + 1,
                        UUID.randomUUID().toString(),
                        author,
                        reason,
                        System.currentTimeMillis(),
                        put,
                        removedId)))
                .thenCompose(result -> result)
                .thenApplyAsync(this::commitResponse, context.control());
    }

    private HttpResponse commitResponse(Either<Refusal, IntentChange> result) {
        return result.fold(this::refusalResponse, change -> {
            membership.gossipNow(GOSSIP_FANOUT);
            return HttpResponse.json(
                    200, new ChangeResult(true, change.revision(), Verdict.RAN.label(), change.describe(), List.of()));
        });
    }

    private HttpResponse refusalResponse(Refusal refusal) {
        boolean outcomeUnknown = refusal.kind() == Refusal.Kind.OUTCOME_UNKNOWN;
        int status = refusal.kind() == Refusal.Kind.STALE ? 409 : 503;
        return HttpResponse.json(
                status,
                new ChangeResult(
                        false,
                        configuration.intents().revision(),
                        (outcomeUnknown ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN).label(),
                        refusal.detail(),
                        refusal.concurrentChanges().stream()
                                .map(FleetReporter::changeReport)
                                .toList()));
    }

    private CompletionStage<HttpResponse> digest(HttpRequest request) {
        long since = request.queryParameter("since")
                .filter(text -> text.matches("\\d{1,15}"))
                .map(Long::parseLong)
                .getOrElse(0L);
        return withFreshRevisions(() -> HttpResponse.json(
                200, new Digest(since, reporter.changesSince(since), reporter.overrides(System.currentTimeMillis()))));
    }

    private HttpResponse statusPage() {
        String text = StatusPage.render(
                status(),
                reporter.overrides(System.currentTimeMillis()),
                reporter.services(),
                System.currentTimeMillis());
        return HttpResponse.text(200, "text/plain; charset=utf-8", text);
    }

    private CompletionStage<HttpResponse> withFreshRevisions(Supplier<HttpResponse> report) {
        return context.control()
                .submit(() -> membership.refreshRevisions(MAXIMUM_NODES_QUERIED))
                .thenCompose(refreshed -> refreshed)
                .thenCompose(refreshed -> onControlThread(report));
    }

    private CompletionStage<HttpResponse> jsonResponse(Supplier<?> report) {
        return onControlThread(() -> HttpResponse.json(200, report.get()));
    }

    private CompletionStage<HttpResponse> onControlThread(Supplier<HttpResponse> report) {
        return context.control().submit(report);
    }

    private static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    private static String lastPathSegment(HttpRequest request) {
        return request.path().substring(request.path().lastIndexOf('/') + 1);
    }

    private record Lease(long leaseMillis) {}
}
