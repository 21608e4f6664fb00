package org.sardineshunt.engine.caller;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.idempotency.AttemptId;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
import org.sardineshunt.coordination.limit.StopAdmission;
import org.sardineshunt.coordination.placement.HomeView;
import org.sardineshunt.coordination.placement.PlacementPolicy;
import org.sardineshunt.coordination.retry.RetryBudget;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.coordination.route.Route;
import org.sardineshunt.engine.ControlEventLoop;
import org.sardineshunt.engine.EngineContext;
import org.sardineshunt.engine.EngineSettings;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.MetricRegistry;
import org.sardineshunt.engine.http.HttpExchange;
import org.sardineshunt.engine.http.HttpRequestData;
import org.sardineshunt.engine.http.HttpResponseData;
import org.sardineshunt.engine.peer.PeerFailure;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.Inquiry;

/**
 * Receives callers' requests, sends each to a home, retries failed attempts where that is safe and responds. Confined
 * to the control thread, except {@link #handle}.
 */
public final class EntryService {
    // With less time left until the deadline, no attempt is sent.
    private static final long MINIMUM_LEFT_MILLIS = 20;

    // Subtracted from the caller's time, so that the response arrives before the caller stops waiting.
    private static final long ANSWER_MARGIN_MILLIS = 40;

    // A timer that is later than this follows a pause of the process.
    private static final long PAUSE_MILLIS = 300;
    private static final long READ_AFTER_PAUSE_MILLIS = 300;

    private static final int MAXIMUM_FAILED_ATTEMPTS = 8;
    private static final double RETRY_BUDGET_CAPACITY = 3;
    private static final long REFUSING_HOME_AVOIDANCE_MILLIS = 150;
    private static final long NOT_READY_RETRY_AFTER_MILLIS = 500;

    // A stopped node is back after this time if it is restarted at once.
    private static final long RESTART_MILLIS = 1_500;

    private static final long NO_UPSTREAM_RETRY_AFTER_MILLIS = 700;
    private static final long MINIMUM_RETRY_AFTER_MILLIS = 200;

    private final ControlEventLoop control;
    private final EventLog log;
    private final MetricRegistry metrics;
    private final EngineSettings settings;
    private final HomeClient homeClient;
    private final HomeRegistry homeRegistry;
    private final PlacementPolicy placement;
    private final CrashingRequestDetector crashDetector;
    private final Supplier<Optional<FleetConfiguration>> configuration;
    private final Random random;
    private final EntryResponses responses;
    private final AttemptFactory attempts;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final long incarnation;
    private StopAdmission stopAdmission = StopAdmission.OPEN;
    private long lastAttemptNumber;
    private final Set<PendingRequest> pendingRequests = new LinkedHashSet<>();

    /**
     * Creates an entry without requests.
     *
     * @param homeClient sends attempts to homes
     * @param homeRegistry what is known of the homes
     * @param placement chooses the home of each attempt
     * @param configuration supplies the configuration in force; empty before the first one was received
     */
    public EntryService(
            EngineContext context,
            HomeClient homeClient,
            HomeRegistry homeRegistry,
            PlacementPolicy placement,
            Supplier<Optional<FleetConfiguration>> configuration) {
        control = context.control();
        log = context.log();
        metrics = context.metrics();
        settings = context.settings();
        crashDetector = context.crashDetector();
        random = context.random();
        incarnation = context.incarnation();
        attempts = new AttemptFactory(settings);
        responses = new EntryResponses(settings.headers().requestId());
        this.homeClient = homeClient;
        this.homeRegistry = homeRegistry;
        this.placement = placement;
        this.configuration = configuration;
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
    public void limitForStop(StopAdmission admission) {
        stopAdmission = admission;
    }

    /** Ends all requests that have no response yet as timed out, because the process ends before their deadlines. */
    public void timeOutAll() {
        List.copyOf(pendingRequests).forEach(this::timeOut);
    }

    private void accept(HttpExchange exchange) {
        HttpRequestData request = exchange.request();
        String requestId = request.header(settings.headers().requestId()).orElse("");
        Optional<FleetConfiguration> current = configuration.get();
        if (current.isEmpty()) {
            refuse(
                    exchange,
                    requestId,
                    Reason.NOT_READY,
                    NOT_READY_RETRY_AFTER_MILLIS,
                    "no configuration has been received");
            return;
        }
        Optional<Route> route = current.get().match(request.header("host").orElse(""), request.path());
        if (route.isEmpty()) {
            String detail =
                    "no route found in configuration version " + current.get().version();
            refuse(exchange, requestId, Reason.NO_ROUTE, 0, detail);
            return;
        }
        long fingerprint = AttemptFactory.fingerprint(request);
        long now = control.nowMillis();
        if (crashDetector.mustRefuse(now, String.valueOf(fingerprint))) {
            refuse(exchange, requestId, Reason.CRASHING_REQUEST, 0, Long.toHexString(fingerprint));
            return;
        }
        PendingRequest pending = new PendingRequest(
                exchange, requestId, route.get(), current.get().version(), now, fingerprint);
        pending.service = route.get().selectService(random.nextDouble());
        // A request that makes a call holds a slot until the call is answered, so the call has the rank of that
        // request.
        OptionalInt rankOfCaller = settings.headers()
                .parentRequestId(requestId)
                .map(homeClient::rankOfRunningRequest)
                .orElse(OptionalInt.empty());
        pending.fromRunningRequest = rankOfCaller.isPresent();
        pending.rank = rankOfCaller.orElse(route.get().rank());
        pending.deadlineMillis = now - exchange.millisSinceReceived() + timeLeftMillis(request, route.get());
        if (!stopAdmission.takes(now, pending.deadlineMillis)) {
            long retryAfterMillis = stopAdmission.millisUntilEnd(now) + RESTART_MILLIS;
            refuse(exchange, requestId, Reason.SHUTTING_DOWN, retryAfterMillis, "the node stops before the response");
            return;
        }
        pendingRequests.add(pending);
        retryBudget(pending).recordFirstAttempt();
        pending.deadlineTimer = control.after(Math.max(0, pending.deadlineMillis - now), () -> handleDeadline(pending));
        exchange.onDisconnect(() -> control.execute(() -> handleDisconnect(pending)));
        dispatch(pending);
    }

    // The caller's time less the margin, at most the route's timeout; a malformed header counts as missing.
    private long timeLeftMillis(HttpRequestData request, Route route) {
        long callerLeftMillis = request.header(settings.headers().timeLeft())
                .filter(value -> !value.isEmpty() && value.length() < 10)
                .filter(value -> value.chars().allMatch(Character::isDigit))
                .map(Long::parseLong)
                .orElse(route.timeoutMillis() + ANSWER_MARGIN_MILLIS);
        return Math.max(1, Math.min(callerLeftMillis - ANSWER_MARGIN_MILLIS, route.timeoutMillis()));
    }

    private void dispatch(PendingRequest pending) {
        long leftMillis = pending.deadlineMillis - control.nowMillis();
        if (leftMillis < MINIMUM_LEFT_MILLIS) {
            giveUp(pending);
            return;
        }
        Optional<PlacementPolicy.Choice> choice = placement.choose(
                homeRegistry.homes(pending.service, pending.rank, pending.fromRunningRequest),
                pending.triedHomes,
                requirements(pending),
                random::nextDouble);
        if (choice.isEmpty() || pending.failedAttempts > MAXIMUM_FAILED_ATTEMPTS) {
            giveUp(pending);
            return;
        }
        sendAttempt(pending, choice.get(), leftMillis);
    }

    private static PlacementPolicy.Requirements requirements(PendingRequest pending) {
        return new PlacementPolicy.Requirements(pending.route.idempotent(), pending.route.targetLatencyMillis());
    }

    private void sendAttempt(PendingRequest pending, PlacementPolicy.Choice choice, long leftMillis) {
        HomeView home = choice.home();
        String homeId = home.nodeId();
        String attemptId = new AttemptId(settings.nodeId(), incarnation, ++lastAttemptNumber).toString();
        pending.triedHomes.add(homeId);
        pending.lastHomeId = homeId;
        pending.sentAttempts++;
        homeRegistry.recordSent(homeId);
        log.event("attempt-sent")
                .with("request", pending.requestId)
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
        Attempt attempt = attempts.create(pending, attemptId, choice.lastResort(), leftMillis);
        pending.cancelAttempt = homeClient.attempt(homeId, attempt, result -> {
            homeRegistry.recordEnded(homeId);
            result.peek(answer -> handleAnswer(pending, homeId, answer))
                    .peekLeft(failure -> handleLinkFailure(pending, homeId, attemptId, failure));
        });
    }

    private void handleLinkFailure(PendingRequest pending, String homeId, String attemptId, PeerFailure failure) {
        log.event("home-unreachable")
                .with("request", pending.requestId)
                .with("home", homeId)
                .with("sent", failure.sent())
                .with("cause", failure.detail())
                .write();
        if (pending.ended) {
            return;
        }
        if (!failure.sent()) {
            handleFailure(pending, Verdict.NOT_RUN, Reason.NODE_UNREACHABLE, false);
            return;
        }
        if (pending.route.idempotent()) {
            handleFailure(pending, Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, true);
            return;
        }
        // An attempt that may have run can't be repeated unless it is idempotent, so its home is asked how it ended.
        Inquiry inquiry = Inquiry.newBuilder()
                .setAttemptId(attemptId)
                .setLeftMillis((int) Math.max(1, pending.deadlineMillis - control.nowMillis()))
                .setHomeIncarnation(failure.incarnation())
                .build();
        homeClient.inquire(homeId, inquiry, result -> result.peek(answer -> handleAnswer(pending, homeId, answer))
                .peekLeft(inquiryFailure -> handleFailure(pending, Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, true)));
    }

    private void handleAnswer(PendingRequest pending, String homeId, Answer answer) {
        if (answer.hasLoad()) {
            homeRegistry.recordLoad(homeId, answer.getLoad());
        }
        if (pending.ended) {
            return;
        }
        Verdict verdict = Verdict.ofOrdinal(answer.getVerdict()).orElse(Verdict.MAY_HAVE_RUN);
        Reason reason = Reason.ofPeerLabel(answer.getReason());
        if (verdict == Verdict.RAN && reason == Reason.NONE) {
            respond(pending, verdict, reason, EntryResponses.fromUpstream(answer));
            return;
        }
        if (verdict == Verdict.RAN) {
            pending.errorAnswer = answer;
        } else if (!answer.getOffered()) {
            homeRegistry.avoid(homeId, REFUSING_HOME_AVOIDANCE_MILLIS);
        }
        handleFailure(pending, verdict, reason, answer.getOffered());
    }

    private void handleFailure(PendingRequest pending, Verdict verdict, Reason reason, boolean offered) {
        if (pending.ended) {
            return;
        }
        pending.lastReason = reason;
        pending.failedAttempts++;
        if (offered) {
            pending.offeredAttempts++;
        }
        if (verdict != Verdict.NOT_RUN) {
            pending.verdictSoFar = Verdict.MAY_HAVE_RUN;
        }
        // An attempt that wasn't offered to an upstream is repeated elsewhere without counting as a retry.
        Optional<String> objection = offered ? retryObjection(pending, verdict) : Optional.empty();
        if (objection.isEmpty()) {
            metrics.count("retries", reason.label());
            log.event("attempt-again")
                    .with("request", pending.requestId)
                    .with("home", pending.lastHomeId)
                    .with("reason", reason.label())
                    .with("verdict", verdict.label())
                    .with("attempts", pending.sentAttempts)
                    .write();
            dispatch(pending);
        } else {
            metrics.count("retries_refused", objection.get());
            log.event("not-repeated")
                    .with("request", pending.requestId)
                    .with("home", pending.lastHomeId)
                    .with("reason", reason.label())
                    .with("verdict", verdict.label())
                    .with("objection", objection.get())
                    .with("offered", pending.offeredAttempts)
                    .write();
            giveUp(pending);
        }
    }

    /** Returns why a request must not be retried; empty if it may be, and then takes a retry from the budget. */
    private Optional<String> retryObjection(PendingRequest pending, Verdict verdict) {
        long now = control.nowMillis();
        if (verdict != Verdict.NOT_RUN && !pending.route.idempotent()) {
            return Optional.of("not-idempotent");
        }
        if (pending.offeredAttempts >= pending.route.maximumAttempts()) {
            return Optional.of("attempts-used");
        }
        if (pending.deadlineMillis - now <= MINIMUM_LEFT_MILLIS) {
            return Optional.of("no-time-left");
        }
        if (crashDetector.isSuspect(now, String.valueOf(pending.fingerprint))) {
            return Optional.of("suspect");
        }
        return retryBudget(pending).tryAcquireRetry() ? Optional.empty() : Optional.of("retry-budget");
    }

    private void giveUp(PendingRequest pending) {
        if (pending.errorAnswer != null) {
            respond(pending, Verdict.RAN, Reason.SERVER_ERROR, EntryResponses.fromUpstream(pending.errorAnswer));
        } else if (pending.verdictSoFar == Verdict.NOT_RUN) {
            respond(
                    pending,
                    Verdict.NOT_RUN,
                    pending.lastReason,
                    responses.error(pending.requestId, 503, retryAfterMillis(pending)));
        } else {
            respond(pending, Verdict.MAY_HAVE_RUN, pending.lastReason, responses.error(pending.requestId, 502, 0));
        }
    }

    private long retryAfterMillis(PendingRequest pending) {
        if (pending.lastReason == Reason.NO_UPSTREAM) {
            return NO_UPSTREAM_RETRY_AFTER_MILLIS;
        }
        double shortestWaitMillis =
                homeRegistry.homes(pending.service, pending.rank, pending.fromRunningRequest).stream()
                        .mapToDouble(HomeView::expectedWaitMillis)
                        .min()
                        .orElse(NO_UPSTREAM_RETRY_AFTER_MILLIS);
        // Varied by up to a quarter, so that refused callers don't all return at the same time.
        double jitterFactor = 0.75 + random.nextDouble() / 2;
        return (long) (Math.max(MINIMUM_RETRY_AFTER_MILLIS, shortestWaitMillis) * jitterFactor);
    }

    // Answers that arrived during a pause are read only after the timers that fell due, and are delivered although
    // late.
    private void handleDeadline(PendingRequest pending) {
        if (control.nowMillis() - pending.deadlineMillis > PAUSE_MILLIS) {
            pending.deadlineTimer = control.after(READ_AFTER_PAUSE_MILLIS, () -> timeOut(pending));
        } else {
            timeOut(pending);
        }
    }

    private void timeOut(PendingRequest pending) {
        if (pending.ended) {
            return;
        }
        boolean neverSent = pending.sentAttempts == 0 || pending.cancelAttempt == null;
        pending.cancelAttempt.run();
        if (pending.errorAnswer != null) {
            giveUp(pending);
            return;
        }
        Verdict verdict = neverSent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        respond(pending, verdict, Reason.DEADLINE_PASSED, responses.error(pending.requestId, 504, 0));
    }

    private void handleDisconnect(PendingRequest pending) {
        if (pending.ended) {
            return;
        }
        pending.cancelAttempt.run();
        pending.ended = true;
        pending.deadlineTimer.cancel();
        pendingRequests.remove(pending);
        metrics.count("requests", "caller-left");
        log.event("caller-left")
                .with("request", pending.requestId)
                .with("home", pending.lastHomeId)
                .with("millis", control.nowMillis() - pending.startedMillis)
                .write();
    }

    private void respond(PendingRequest pending, Verdict verdict, Reason reason, HttpResponseData response) {
        pending.ended = true;
        pending.deadlineTimer.cancel();
        pendingRequests.remove(pending);
        pending.exchange.respond(response);
        long millis = control.nowMillis() - pending.startedMillis;
        metrics.count("requests", reason.label());
        metrics.observe("request_seconds", pending.service, millis);
        log.event("answered")
                .with("request", pending.requestId)
                .with("route", pending.route.name())
                .with("service", pending.service)
                .with("version", pending.configurationVersion)
                .with("home", pending.lastHomeId)
                .with("attempts", pending.sentAttempts)
                .with("status", response.status())
                .with("verdict", verdict.label())
                .with("reason", reason.label())
                .with("millis", millis)
                .write();
    }

    private void refuse(HttpExchange exchange, String requestId, Reason reason, long retryAfterMillis, String detail) {
        metrics.count("requests", reason.label());
        log.event("refused")
                .with("request", requestId)
                .with("reason", reason.label())
                .with("path", exchange.request().path())
                .with("detail", detail)
                .write();
        exchange.respond(responses.error(requestId, reason.httpStatus(), retryAfterMillis));
    }

    private RetryBudget retryBudget(PendingRequest pending) {
        return retryBudgets.computeIfAbsent(
                pending.service, service -> new RetryBudget(settings.limits().retryShare(), RETRY_BUDGET_CAPACITY));
    }

    /** Calls homes, on this node or on others. Callbacks run on the control thread. */
    public interface HomeClient {
        /** Returns the rank of a request that the local upstream is running; empty if it isn't running that request. */
        OptionalInt rankOfRunningRequest(String requestId);

        /**
         * Sends an attempt to a home.
         *
         * @param onResult called with the answer, or with the failure if there was none
         * @return action that cancels the attempt
         */
        Runnable attempt(
                String homeId, Attempt attempt, java.util.function.Consumer<Either<PeerFailure, Answer>> onResult);

        /** Asks a home how an attempt ended; one that hasn't started there never will. */
        void inquire(String homeId, Inquiry inquiry, java.util.function.Consumer<Either<PeerFailure, Answer>> onResult);
    }
}
