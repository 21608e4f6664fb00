package org.sardineshunt.engine.caller;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.account.AccountAdmission;
import org.sardineshunt.coordination.account.ClientAccount;
import org.sardineshunt.coordination.idempotency.AttemptId;
import org.sardineshunt.coordination.limit.StopAdmission;
import org.sardineshunt.coordination.placement.HomeView;
import org.sardineshunt.coordination.placement.PlacementPolicy;
import org.sardineshunt.coordination.placement.TransferEstimate;
import org.sardineshunt.coordination.route.Route;
import org.sardineshunt.engine.AttemptStreams;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.EngineContext;
import org.sardineshunt.engine.EngineSettings;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.MetricRegistry;
import org.sardineshunt.engine.http.HttpExchange;
import org.sardineshunt.engine.http.HttpResponseData;
import org.sardineshunt.engine.http.StreamedResponse;
import org.sardineshunt.engine.peer.PeerFailure;
import org.sardineshunt.engine.platform.ConfigurationTracker;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.Inquiry;

/**
 * Receives callers' requests, sends each to a home, retries failed attempts where that is safe and responds.
 * {@link RequestAdmission} decides which requests are accepted, {@link RetryDecision} which attempts are retried.
 * Confined to the control thread, except {@link #handle}.
 */
public final class EntryService {
    // A timer that is later than this follows a pause of the process.
    private static final long PAUSE_MILLIS = 300;
    private static final long READ_AFTER_PAUSE_MILLIS = 300;

    private static final long REFUSING_HOME_AVOIDANCE_MILLIS = 150;

    private static final PendingRequest.Failure NOT_SENT =
            new PendingRequest.Failure(Verdict.NOT_RUN, Reason.NODE_UNREACHABLE, false);
    private static final PendingRequest.Failure KEY_REVOKED =
            new PendingRequest.Failure(Verdict.NOT_RUN, Reason.KEY_REVOKED, false);
    private static final PendingRequest.Failure LINK_LOST =
            new PendingRequest.Failure(Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, true);

    private static final int MAXIMUM_ESTIMATED_ROUTES = 1_000;

    private final ControlEventLoop control;
    private final EventLog log;
    private final MetricRegistry metrics;
    private final EngineSettings settings;
    private final HomeClient homeClient;
    private final HomeRegistry homeRegistry;
    private final PlacementPolicy placement;
    private final Random random;
    private final EntryResponses responses;
    private final AttemptFactory attempts;
    private final ConfigurationTracker configuration;
    private final CallerAuthorization authorization;
    private final AccountAdmission accountAdmission;
    private final RequestAdmission admission;
    private final RetryDecision retryDecision;
    private final Hedging hedging;
    private final long incarnation;
    private final TransferEstimate transfers = new TransferEstimate(MAXIMUM_ESTIMATED_ROUTES);
    private long lastAttemptNumber;
    private final Set<PendingRequest> pendingRequests = new LinkedHashSet<>();

    /**
     * Creates an entry without requests.
     *
     * @param homeClient sends attempts to homes
     * @param homeRegistry what is known of the homes
     * @param placement chooses the home of each attempt
     * @param configuration the configuration in force
     * @param accountAdmission limits the requests of client accounts
     */
    public EntryService(
            EngineContext context,
            HomeClient homeClient,
            HomeRegistry homeRegistry,
            PlacementPolicy placement,
            ConfigurationTracker configuration,
            AccountAdmission accountAdmission) {
        control = context.control();
        log = context.log();
        metrics = context.metrics();
        settings = context.settings();
        random = context.random();
        incarnation = context.incarnation();
        attempts = new AttemptFactory(settings);
        responses = new EntryResponses(settings.headers().requestId());
        this.homeClient = homeClient;
        this.homeRegistry = homeRegistry;
        this.placement = placement;
        this.configuration = configuration;
        this.accountAdmission = accountAdmission;
        authorization = new CallerAuthorization(
                settings.headers(), configuration, homeClient::runningRequest, homeClient::tryAcquireCall);
        admission = new RequestAdmission(settings.headers(), context.crashDetector(), random::nextDouble);
        retryDecision = new RetryDecision(
                context.crashDetector(), responses, settings.limits().retryShare(), random::nextDouble);
        hedging = new Hedging(
                context,
                homeRegistry,
                retryDecision,
                this::homes,
                (pending, home, leftMillis) ->
                        sendAttempt(pending, new PlacementPolicy.Choice(home, false), leftMillis));
    }

    /** Starts to serve a request; may be called on any thread. */
    public void handle(HttpExchange exchange) {
        control.execute(() -> accept(exchange));
    }

    /** Returns the number of requests that have no response yet. */
    public int inFlight() {
        return pendingRequests.size();
    }

    /** Takes only requests that the given decision allows, because the process is stopping. */
    public void limitForStop(StopAdmission stopAdmission) {
        admission.limitForStop(stopAdmission);
    }

    /** Ends all requests that have no response yet as timed out, because the process ends before their deadlines. */
    public void timeOutAll() {
        List.copyOf(pendingRequests).forEach(this::timeOut);
    }

    private void accept(HttpExchange exchange) {
        authorization.authorize(exchange.request(), decision -> decision.flatMap(authorized -> admission
                        .decide(control.nowMillis(), exchange, authorized)
                        .peek(request -> startWithinLimit(request, authorized.account())))
                .peekLeft(refusal -> refuse(exchange, refusal)));
    }

    private void startWithinLimit(AdmittedRequest request, Optional<ClientAccount> account) {
        if (account.isEmpty()) {
            start(request);
            return;
        }
        metrics.countForAccount("account_requests", account.get().name());
        accountAdmission.admit(account.get(), decision -> decision.refusal()
                .ifPresentOrElse(reason -> refuse(request, reason, decision), () -> start(request)));
    }

    private void start(AdmittedRequest request) {
        PendingRequest pending = new PendingRequest(request);
        pendingRequests.add(pending);
        retryDecision.recordRequest(request);
        hedging.recordRequest(request);
        pending.setDeadlineTimer(control.after(
                Math.max(0, request.deadlineMillis() - control.nowMillis()), () -> handleDeadline(pending)));
        request.exchange().onDisconnect(() -> control.execute(() -> handleDisconnect(pending)));
        request.exchange().onEviction(() -> control.execute(() -> handleEviction(pending)));
        request.exchange().streamedBody().ifPresent(body -> {
            metrics.count("streamed_bodies", "request");
            request.exchange().onBodyFailure(() -> control.execute(() -> handleBodyFailure(pending)));
        });
        dispatch(pending);
    }

    private void dispatch(PendingRequest pending) {
        long leftMillis = pending.request().deadlineMillis() - control.nowMillis();
        if (!retryDecision.hasTimeForAttempt(leftMillis)) {
            giveUp(pending);
            return;
        }
        Optional<PlacementPolicy.Choice> choice = placement.choose(
                homes(pending.request()),
                pending.triedHomes(),
                requirements(pending.request(), leftMillis),
                random::nextDouble);
        if (choice.isEmpty() || retryDecision.hasTooManyFailures(pending)) {
            giveUp(pending);
            return;
        }
        sendAttempt(pending, choice.get(), leftMillis);
        hedging.schedule(pending);
    }

    private List<HomeView> homes(AdmittedRequest request) {
        List<HomeView> homes = homeRegistry.homes(request.service(), request.rank(), request.fromRunningRequest());
        return request.exchange().streamedBody().isEmpty()
                ? homes
                : homes.stream()
                        .filter(home -> homeClient.supportsStreaming(home.nodeId()))
                        .toList();
    }

    private PlacementPolicy.Requirements requirements(AdmittedRequest request, long leftMillis) {
        Route route = request.route();
        return new PlacementPolicy.Requirements(
                route.idempotent(), route.targetLatencyMillis(), leftMillis, transfers.bytes(route.name()));
    }

    private void sendAttempt(PendingRequest pending, PlacementPolicy.Choice choice, long leftMillis) {
        AdmittedRequest request = pending.request();
        HomeView home = choice.home();
        String homeId = home.nodeId();
        String attemptId = new AttemptId(settings.nodeId(), incarnation, ++lastAttemptNumber).toString();
        PendingRequest.SentAttempt attempt = new PendingRequest.SentAttempt(attemptId, homeId);
        pending.startAttempt(attempt);
        homeRegistry.recordSent(homeId);
        log.event("attempt-sent")
                .with("request", request.requestId())
                .with("attempt", attemptId)
                .with("home", homeId)
                .with("condition", home.condition().name())
                .with("busy", home.outstandingRequests())
                .with("waitMillis", (long) home.expectedWaitMillis())
                .with("serviceMillis", (long) home.meanServiceMillis())
                .with("near", home.near())
                .with("avoided", home.avoided())
                .with("leftMillis", leftMillis)
                .write();
        boolean streaming = homeClient.supportsStreaming(homeId);
        Attempt message = attempts.create(request, attemptId, choice.lastResort(), leftMillis, streaming);
        long sentMillis = control.nowMillis();
        Runnable recordEnd = Hedging.once(() -> homeRegistry.recordEnded(homeId));
        Runnable cancellation = homeClient.attempt(homeId, message, streams(pending, attempt, streaming), result -> {
            recordEnd.run();
            result.filter(EntryResponses::isSuccess).forEach(success -> hedging.recordTime(request, sentMillis));
            result.peek(answer -> handleAnswer(pending, attempt, answer))
                    .peekLeft(failure -> handleLinkFailure(pending, attempt, failure));
        });
        // A cancelled attempt has a result only if its home is this node.
        pending.setCancellation(attempt, () -> {
            cancellation.run();
            recordEnd.run();
            hedging.recordTime(request, sentMillis);
        });
    }

    private AttemptStreams streams(PendingRequest pending, PendingRequest.SentAttempt attempt, boolean streaming) {
        return new AttemptStreams(
                pending.request().exchange().streamedBody(),
                streaming
                        ? Optional.of(response -> handleStreamedResponse(pending, attempt, response))
                        : Optional.empty());
    }

    private void handleStreamedResponse(
            PendingRequest pending, PendingRequest.SentAttempt attempt, StreamedResponse response) {
        if (pending.hasEnded() || !pending.isInFlight(attempt) || pending.hasResponseStarted()) {
            response.body().pipe().cancel();
            return;
        }
        pending.dropAttemptsExcept(attempt);
        hedging.recordSuccess(pending, attempt);
        pending.startResponse();
        pending.request().exchange().respondStreamed(response);
    }

    private void handleLinkFailure(
            PendingRequest pending, PendingRequest.SentAttempt attempt, PeerFailure linkFailure) {
        AdmittedRequest request = pending.request();
        log.event("home-unreachable")
                .with("request", request.requestId())
                .with("home", attempt.homeId())
                .with("sent", linkFailure.sent())
                .with("cause", linkFailure.detail())
                .write();
        if (pending.hasEnded() || !pending.isInFlight(attempt)) {
            return;
        }
        if (!linkFailure.sent()) {
            handleFailure(pending, attempt, NOT_SENT);
            return;
        }
        if (request.route().idempotent() || pending.hasResponseStarted()) {
            handleFailure(pending, attempt, LINK_LOST);
            return;
        }
        // An attempt that may have run can't be repeated unless it is idempotent, so its home is asked how it ended.
        Inquiry inquiry = Inquiry.newBuilder()
                .setAttemptId(attempt.attemptId())
                .setLeftMillis((int) Math.max(1, request.deadlineMillis() - control.nowMillis()))
                .setHomeIncarnation(linkFailure.incarnation())
                .build();
        homeClient.inquire(
                attempt.homeId(), inquiry, result -> result.peek(answer -> handleAnswer(pending, attempt, answer))
                        .peekLeft(inquiryFailure -> handleFailure(pending, attempt, LINK_LOST)));
    }

    private void handleAnswer(PendingRequest pending, PendingRequest.SentAttempt attempt, Answer answer) {
        if (answer.hasLoad()) {
            homeRegistry.recordLoad(attempt.homeId(), answer.getLoad());
            configuration.recordPeerVersion(attempt.homeId(), answer.getLoad().getConfigurationVersion());
        }
        if (pending.hasEnded() || !pending.isInFlight(attempt)) {
            return;
        }
        if (answer.getStreamed() && !pending.hasResponseStarted()) {
            // The home knows how the attempt ended, but its response was lost with the link.
            handleFailure(pending, attempt, LINK_LOST);
            return;
        }
        Verdict verdict = Verdict.ofOrdinal(answer.getVerdict()).orElse(Verdict.MAY_HAVE_RUN);
        Reason reason = Reason.ofPeerLabel(answer.getReason());
        if (EntryResponses.isSuccess(answer)) {
            recordTransfer(pending.request(), answer);
            hedging.recordSuccess(pending, attempt);
            pending.completeAttempt(attempt);
            respond(pending, new RetryDecision.Outcome(verdict, reason, EntryResponses.fromUpstream(answer)));
            return;
        }
        if (verdict == Verdict.NOT_RUN
                && reason == Reason.KEY_REVOKED
                && pending.attemptsInFlight().size() == 1) {
            handleRevokedKey(pending, attempt);
            return;
        }
        if (verdict == Verdict.RAN) {
            pending.recordErrorAnswer(answer);
        } else if (!answer.getOffered()) {
            homeRegistry.avoid(attempt.homeId(), REFUSING_HOME_AVOIDANCE_MILLIS);
        }
        handleFailure(pending, attempt, new PendingRequest.Failure(verdict, reason, answer.getOffered()));
    }

    private void handleFailure(
            PendingRequest pending, PendingRequest.SentAttempt attempt, PendingRequest.Failure failure) {
        if (pending.hasEnded()) {
            return;
        }
        pending.failAttempt(attempt, failure);
        if (!pending.attemptsInFlight().isEmpty()) {
            hedging.recordFailure(pending, attempt, failure);
            return;
        }
        Optional<String> objection = retryDecision.objection(control.nowMillis(), pending, failure);
        if (objection.isEmpty()) {
            metrics.count("retries", failure.reason().label());
            log.event("attempt-again")
                    .with("request", pending.request().requestId())
                    .with("home", attempt.homeId())
                    .with("reason", failure.reason().label())
                    .with("verdict", failure.verdict().label())
                    .with("attempts", pending.sentAttempts())
                    .write();
            dispatch(pending);
        } else {
            metrics.count("retries_refused", objection.get());
            log.event("not-repeated")
                    .with("request", pending.request().requestId())
                    .with("home", attempt.homeId())
                    .with("reason", failure.reason().label())
                    .with("verdict", failure.verdict().label())
                    .with("objection", objection.get())
                    .with("offered", pending.offeredAttempts())
                    .write();
            giveUp(pending);
        }
    }

    // The home refused the attempt by a newer configuration than this node had.
    private void handleRevokedKey(PendingRequest pending, PendingRequest.SentAttempt attempt) {
        pending.failAttempt(attempt, KEY_REVOKED);
        configuration.confirm(confirmed -> {
            if (pending.hasEnded()) {
                return;
            }
            RequestAccount account = pending.request().account();
            if (confirmed && authorization.isKeyOf(account.name(), account.keyFingerprint())) {
                dispatch(pending);
            } else if (pending.verdictSoFar() != Verdict.NOT_RUN) {
                giveUp(pending);
            } else {
                metrics.countForAccount("account_refusals", account.name());
                Reason reason = confirmed ? Reason.KEY_REVOKED : Reason.CONFIGURATION_UNCONFIRMED;
                long retryAfterMillis = confirmed ? 0 : CallerAuthorization.UNCONFIRMED_RETRY_AFTER_MILLIS;
                HttpResponseData response =
                        responses.error(pending.request().requestId(), reason.httpStatus(), retryAfterMillis);
                respond(pending, new RetryDecision.Outcome(Verdict.NOT_RUN, reason, response));
            }
        });
    }

    private void giveUp(PendingRequest pending) {
        respond(pending, retryDecision.giveUp(pending, () -> homes(pending.request())));
    }

    // Answers that arrived during a pause are read only after the timers that fell due, and are delivered although
    // late.
    private void handleDeadline(PendingRequest pending) {
        if (control.nowMillis() - pending.request().deadlineMillis() > PAUSE_MILLIS) {
            pending.setDeadlineTimer(control.after(READ_AFTER_PAUSE_MILLIS, () -> timeOut(pending)));
        } else {
            timeOut(pending);
        }
    }

    private void timeOut(PendingRequest pending) {
        if (pending.hasEnded()) {
            return;
        }
        respond(pending, retryDecision.timeOut(pending));
    }

    private void handleEviction(PendingRequest pending) {
        if (pending.hasEnded()) {
            return;
        }
        respond(pending, retryDecision.evict(pending));
    }

    private void handleBodyFailure(PendingRequest pending) {
        if (!pending.hasEnded()) {
            pending.cancelAttempts();
            respond(pending, retryDecision.failBody(pending));
        }
    }

    private void handleDisconnect(PendingRequest pending) {
        if (pending.hasEnded()) {
            return;
        }
        pending.cancelAttempts();
        pending.end();
        pendingRequests.remove(pending);
        metrics.count("requests", "caller-left");
        log.event("caller-left")
                .with("request", pending.request().requestId())
                .with("home", pending.lastHomeId())
                .with("millis", control.nowMillis() - pending.request().startedMillis())
                .write();
    }

    private void recordTransfer(AdmittedRequest request, Answer answer) {
        long requestBytes = request.exchange().request().body().length;
        transfers.record(request.route().name(), requestBytes + answer.getBody().size());
    }

    private void respond(PendingRequest pending, RetryDecision.Outcome outcome) {
        AdmittedRequest request = pending.request();
        pending.cancelAttempts();
        pending.end();
        pendingRequests.remove(pending);
        if (pending.hasFailedBody() && outcome.verdict() != Verdict.NOT_RUN) {
            request.exchange().abort();
        } else {
            request.exchange().respond(outcome.response());
        }
        long millis = control.nowMillis() - request.startedMillis();
        metrics.count("requests", outcome.reason().label());
        metrics.observe("request_seconds", request.service(), millis);
        log.event("answered")
                .with("request", request.requestId())
                .with("route", request.route().name())
                .with("account", request.account().name())
                .with("service", request.service())
                .with("version", request.configurationVersion())
                .with("home", pending.lastHomeId())
                .with("attempts", pending.sentAttempts())
                .with("status", outcome.response().status())
                .with("verdict", outcome.verdict().label())
                .with("reason", outcome.reason().label())
                .with("millis", millis)
                .write();
    }

    private void refuse(HttpExchange exchange, RequestAdmission.Refusal refusal) {
        String requestId = admission.requestId(exchange.request());
        metrics.count("requests", refusal.reason().label());
        log.event("refused")
                .with("request", requestId)
                .with("reason", refusal.reason().label())
                .with("path", exchange.request().path())
                .with("detail", refusal.detail())
                .write();
        exchange.respond(responses.error(requestId, refusal.reason().httpStatus(), refusal.retryAfterMillis()));
    }

    private void refuse(AdmittedRequest request, Reason reason, AccountAdmission.Decision decision) {
        metrics.count("requests", reason.label());
        metrics.countForAccount("account_refusals", request.account().name());
        log.event("refused")
                .with("request", request.requestId())
                .with("reason", reason.label())
                .with("account", request.account().name())
                .with("tokensLeft", decision.tokensLeft())
                .with("grantAgeMillis", decision.grantAgeMillis())
                .with("retryAfterMillis", decision.retryAfterMillis())
                .write();
        request.exchange()
                .respond(responses.error(request.requestId(), reason.httpStatus(), decision.retryAfterMillis()));
    }
}
