package org.sardineshunt.engine.caller;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.RendezvousHashing;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.idempotency.CrashingRequestDetector;
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
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpRequestData;
import org.sardineshunt.engine.http.HttpResponseData;
import org.sardineshunt.engine.peer.PeerFailure;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.Header;
import org.sardineshunt.engine.protocol.EngineMessages.Inquiry;

/**
 * Takes callers' requests, sends them to homes and answers with what came of it. Belongs to the control thread, but for
 * {@link #handle}.
 */
public final class EntryService {
    private static final long SHORTEST_LEFT_MILLIS = 20;
    private static final long ANSWER_MARGIN_MILLIS = 40;
    private static final int MOST_REDIRECTS = 8;
    private static final double RETRY_RESERVE = 3;
    private static final long AVOID_REFUSING_MILLIS = 150;
    private static final long NOT_READY_RETRY_MILLIS = 500;
    private static final long NO_UPSTREAM_RETRY_MILLIS = 700;
    private static final long SHORTEST_RETRY_AFTER_MILLIS = 200;

    private final ControlEventLoop control;
    private final EventLog log;
    private final MetricRegistry counters;
    private final EngineSettings settings;
    private final Homes homes;
    private final HomeTable homeTable;
    private final PlacementPolicy placement;
    private final CrashingRequestDetector crashes;
    private final Supplier<Optional<FleetConfiguration>> configuration;
    private final Random random;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final long incarnation;
    private long lastAttempt;
    private final Set<Flow> flows = new LinkedHashSet<>();

    /** Creates an entry. */
    public EntryService(
            EngineContext context,
            Homes homes,
            HomeTable homeTable,
            PlacementPolicy placement,
            Supplier<Optional<FleetConfiguration>> configuration) {
        control = context.control();
        log = context.log();
        counters = context.metrics();
        settings = context.settings();
        crashes = context.crashDetector();
        random = context.random();
        incarnation = context.incarnation();
        this.homes = homes;
        this.homeTable = homeTable;
        this.placement = placement;
        this.configuration = configuration;
    }

    /** Takes a request; may be called on any thread. */
    public void handle(HttpExchange exchange) {
        control.execute(() -> begin(exchange));
    }

    /** Returns how many requests wait for their answer. */
    public int inFlight() {
        return flows.size();
    }

    /** Answers all requests that still wait, because the process ends before their time is over. */
    public void answerAll() {
        List.copyOf(flows).forEach(this::timeOut);
    }

    private void begin(HttpExchange exchange) {
        HttpRequestData request = exchange.request();
        String requestId = request.header(settings.headers().requestId()).orElse("");
        Optional<FleetConfiguration> known = configuration.get();
        if (known.isEmpty()) {
            refuse(exchange, requestId, Reason.NOT_READY, NOT_READY_RETRY_MILLIS, "no configuration is known");
            return;
        }
        Optional<Route> route = known.get().match(request.header("host").orElse(""), request.path());
        if (route.isEmpty()) {
            String detail = "no route in version " + known.get().version();
            refuse(exchange, requestId, Reason.NO_ROUTE, 0, detail);
            return;
        }
        long fingerprint = fingerprint(request);
        long now = control.nowMillis();
        if (crashes.mustRefuse(now, String.valueOf(fingerprint))) {
            refuse(exchange, requestId, Reason.CRASHING_REQUEST, 0, Long.toHexString(fingerprint));
            return;
        }
        Flow flow = new Flow(exchange, requestId, route.get(), known.get().version(), now, fingerprint);
        flow.service = route.get().selectService(random.nextDouble());
        OptionalInt rankOfCaller =
                settings.headers().parentOf(requestId).map(homes::rankOfRunning).orElse(OptionalInt.empty());
        flow.fromRunningRequest = rankOfCaller.isPresent();
        flow.rank = rankOfCaller.orElse(route.get().rank());
        flow.deadlineMillis = now + leftMillis(request, route.get());
        flows.add(flow);
        budget(flow).recordFirstAttempt();
        flow.timer = control.after(flow.deadlineMillis - now, () -> timeOut(flow));
        exchange.onDisconnect(() -> control.execute(() -> callerLeft(flow)));
        dispatch(flow);
    }

    private long leftMillis(HttpRequestData request, Route route) {
        long callerLeft = request.header(settings.headers().timeLeft())
                .filter(value -> !value.isEmpty() && value.length() < 10)
                .filter(value -> value.chars().allMatch(Character::isDigit))
                .map(Long::parseLong)
                .orElse(route.timeoutMillis() + ANSWER_MARGIN_MILLIS);
        return Math.max(1, Math.min(callerLeft - ANSWER_MARGIN_MILLIS, route.timeoutMillis()));
    }

    private void dispatch(Flow flow) {
        long left = flow.deadlineMillis - control.nowMillis();
        if (left < SHORTEST_LEFT_MILLIS) {
            giveUp(flow);
            return;
        }
        Optional<PlacementPolicy.Choice> choice = placement.choose(
                homeTable.homes(flow.service, flow.rank, flow.fromRunningRequest),
                flow.tried,
                need(flow),
                random::nextDouble);
        if (choice.isEmpty() || flow.redirects > MOST_REDIRECTS) {
            giveUp(flow);
            return;
        }
        send(flow, choice.get(), left);
    }

    private static PlacementPolicy.Requirements need(Flow flow) {
        return new PlacementPolicy.Requirements(flow.route.idempotent(), flow.route.targetLatencyMillis());
    }

    private void send(Flow flow, PlacementPolicy.Choice choice, long left) {
        HomeView view = choice.home();
        String home = view.nodeId();
        String attemptId = settings.nodeId() + '/' + incarnation + '/' + ++lastAttempt;
        flow.tried.add(home);
        flow.lastHome = home;
        flow.attempts++;
        homeTable.sent(home);
        log.event("attempt-sent")
                .with("request", flow.requestId)
                .with("attempt", attemptId)
                .with("home", home)
                .with("condition", view.condition().name())
                .with("busy", view.outstandingRequests())
                .with("waitMillis", (long) view.expectedWaitMillis())
                .with("serviceMillis", (long) view.meanServiceMillis())
                .with("near", view.near())
                .with("avoided", view.avoided())
                .with("leftMillis", left)
                .write();
        Attempt attempt = attempt(flow, attemptId, choice.lastResort(), left);
        flow.cancelAttempt = homes.attempt(home, attempt, result -> {
            homeTable.ended(home);
            result.peek(answer -> take(flow, home, answer))
                    .peekLeft(failure -> linkFailed(flow, home, attemptId, failure));
        });
    }

    private Attempt attempt(Flow flow, String attemptId, boolean lastResort, long left) {
        HttpRequestData request = flow.exchange.request();
        List<Header> passedOn = HttpHeader.endToEnd(request.headers()).stream()
                .filter(field -> !settings.headers().isOwn(field.name()))
                .map(field -> Header.newBuilder()
                        .setName(field.name())
                        .setValue(field.value())
                        .build())
                .toList();
        return Attempt.newBuilder()
                .setAttemptId(attemptId)
                .setRequestId(flow.requestId)
                .setService(flow.service)
                .setRank(flow.rank)
                .setIdempotent(flow.route.idempotent())
                .setLeftMillis((int) left)
                .setMethod(request.method())
                .setTarget(request.target())
                .addAllHeaders(passedOn)
                .setBody(ByteString.copyFrom(request.body()))
                .setCallerService(settings.callerService())
                .setLastResort(lastResort)
                .setFingerprint(flow.fingerprint)
                .setRoute(flow.route.name())
                .setFromRunningRequest(flow.fromRunningRequest)
                .setTargetMillis((int) flow.route.targetLatencyMillis())
                .build();
    }

    private void linkFailed(Flow flow, String home, String attemptId, PeerFailure failure) {
        log.event("home-unreachable")
                .with("request", flow.requestId)
                .with("home", home)
                .with("sent", failure.sent())
                .with("cause", failure.detail())
                .write();
        if (flow.ended) {
            return;
        }
        if (!failure.sent()) {
            failed(flow, Verdict.NOT_RUN, Reason.NODE_UNREACHABLE, false);
            return;
        }
        if (flow.route.idempotent()) {
            failed(flow, Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, true);
            return;
        }
        Inquiry inquiry = Inquiry.newBuilder()
                .setAttemptId(attemptId)
                .setLeftMillis((int) Math.max(1, flow.deadlineMillis - control.nowMillis()))
                .setHomeIncarnation(failure.incarnation())
                .build();
        homes.inquire(home, inquiry, result -> result.peek(answer -> take(flow, home, answer))
                .peekLeft(again -> failed(flow, Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, true)));
    }

    private void take(Flow flow, String home, Answer answer) {
        if (answer.hasLoad()) {
            homeTable.report(home, answer.getLoad());
        }
        if (flow.ended) {
            return;
        }
        Verdict verdict = Verdict.values()[answer.getVerdict()];
        Reason reason = Reason.ofLabel(answer.getReason());
        if (verdict == Verdict.RAN && reason == Reason.NONE) {
            end(flow, verdict, reason, passedOn(answer));
            return;
        }
        if (verdict == Verdict.RAN) {
            flow.failedAnswer = answer;
        } else if (!answer.getOffered()) {
            homeTable.avoid(home, AVOID_REFUSING_MILLIS);
        }
        failed(flow, verdict, reason, answer.getOffered());
    }

    private void failed(Flow flow, Verdict verdict, Reason reason, boolean offered) {
        if (flow.ended) {
            return;
        }
        flow.lastReason = reason;
        flow.redirects++;
        if (offered) {
            flow.offered++;
        }
        if (verdict != Verdict.NOT_RUN) {
            flow.verdictSoFar = Verdict.MAY_HAVE_RUN;
        }
        Optional<String> objection = offered ? objectionToRepeat(flow, verdict) : Optional.empty();
        if (objection.isEmpty()) {
            counters.count("retries", reason.label());
            log.event("attempt-again")
                    .with("request", flow.requestId)
                    .with("home", flow.lastHome)
                    .with("reason", reason.label())
                    .with("verdict", verdict.label())
                    .with("attempts", flow.attempts)
                    .write();
            dispatch(flow);
        } else {
            counters.count("retries_refused", objection.get());
            log.event("not-repeated")
                    .with("request", flow.requestId)
                    .with("home", flow.lastHome)
                    .with("reason", reason.label())
                    .with("verdict", verdict.label())
                    .with("objection", objection.get())
                    .with("offered", flow.offered)
                    .write();
            giveUp(flow);
        }
    }

    private Optional<String> objectionToRepeat(Flow flow, Verdict verdict) {
        long now = control.nowMillis();
        if (verdict != Verdict.NOT_RUN && !flow.route.idempotent()) {
            return Optional.of("not-idempotent");
        }
        if (flow.offered >= flow.route.maximumAttempts()) {
            return Optional.of("attempts-used");
        }
        if (flow.deadlineMillis - now <= SHORTEST_LEFT_MILLIS) {
            return Optional.of("no-time-left");
        }
        if (crashes.isSuspect(now, String.valueOf(flow.fingerprint))) {
            return Optional.of("suspect");
        }
        return budget(flow).tryAcquireRetry() ? Optional.empty() : Optional.of("retry-budget");
    }

    private void giveUp(Flow flow) {
        if (flow.failedAnswer != null) {
            end(flow, Verdict.RAN, Reason.SERVER_ERROR, passedOn(flow.failedAnswer));
        } else if (flow.verdictSoFar == Verdict.NOT_RUN) {
            end(flow, Verdict.NOT_RUN, flow.lastReason, refusal(flow.requestId, 503, retryAfterMillis(flow)));
        } else {
            end(flow, Verdict.MAY_HAVE_RUN, flow.lastReason, refusal(flow.requestId, 502, 0));
        }
    }

    private long retryAfterMillis(Flow flow) {
        if (flow.lastReason == Reason.NO_UPSTREAM) {
            return NO_UPSTREAM_RETRY_MILLIS;
        }
        double expected = homeTable.homes(flow.service, flow.rank, flow.fromRunningRequest).stream()
                .mapToDouble(HomeView::expectedWaitMillis)
                .min()
                .orElse(NO_UPSTREAM_RETRY_MILLIS);
        double spread = 0.75 + random.nextDouble() / 2;
        return (long) (Math.max(SHORTEST_RETRY_AFTER_MILLIS, expected) * spread);
    }

    private void timeOut(Flow flow) {
        if (flow.ended) {
            return;
        }
        boolean neverSent = flow.attempts == 0 || flow.cancelAttempt == null;
        flow.cancelAttempt.run();
        if (flow.failedAnswer != null) {
            giveUp(flow);
            return;
        }
        Verdict verdict = neverSent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        end(flow, verdict, Reason.DEADLINE_PASSED, refusal(flow.requestId, 504, 0));
    }

    private void callerLeft(Flow flow) {
        if (flow.ended) {
            return;
        }
        flow.cancelAttempt.run();
        flow.ended = true;
        flow.timer.cancel();
        flows.remove(flow);
        counters.count("requests", "caller-left");
        log.event("caller-left")
                .with("request", flow.requestId)
                .with("home", flow.lastHome)
                .with("millis", control.nowMillis() - flow.beganMillis)
                .write();
    }

    private void end(Flow flow, Verdict verdict, Reason reason, HttpResponseData answer) {
        flow.ended = true;
        flow.timer.cancel();
        flows.remove(flow);
        flow.exchange.respond(answer);
        long millis = control.nowMillis() - flow.beganMillis;
        counters.count("requests", reason.label());
        counters.observe("request_seconds", flow.service, millis);
        log.event("answered")
                .with("request", flow.requestId)
                .with("route", flow.route.name())
                .with("service", flow.service)
                .with("version", flow.configurationVersion)
                .with("home", flow.lastHome)
                .with("attempts", flow.attempts)
                .with("status", answer.status())
                .with("verdict", verdict.label())
                .with("reason", reason.label())
                .with("millis", millis)
                .write();
    }

    private void refuse(HttpExchange exchange, String requestId, Reason reason, long retryMillis, String detail) {
        counters.count("requests", reason.label());
        log.event("refused")
                .with("request", requestId)
                .with("reason", reason.label())
                .with("path", exchange.request().path())
                .with("detail", detail)
                .write();
        exchange.respond(refusal(requestId, reason.httpStatus(), retryMillis));
    }

    private HttpResponseData refusal(String requestId, int status, long retryAfterMillis) {
        java.util.stream.Stream<HttpHeader> retryAfter = retryAfterMillis > 0
                ? java.util.stream.Stream.of(
                        new HttpHeader("Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterMillis / 1_000.0)))
                : java.util.stream.Stream.empty();
        List<HttpHeader> fields = java.util.stream.Stream.concat(
                        java.util.stream.Stream.of(
                                new HttpHeader(settings.headers().requestId(), requestId)),
                        retryAfter)
                .toList();
        return new HttpResponseData(status, fields, new byte[0]);
    }

    private static HttpResponseData passedOn(Answer answer) {
        List<HttpHeader> fields = answer.getHeadersList().stream()
                .map(header -> new HttpHeader(header.getName(), header.getValue()))
                .toList();
        return new HttpResponseData(answer.getStatus(), fields, answer.getBody().toByteArray());
    }

    private RetryBudget budget(Flow flow) {
        return budgets.computeIfAbsent(
                flow.service, service -> new RetryBudget(settings.limits().retryShare(), RETRY_RESERVE));
    }

    private static long fingerprint(HttpRequestData request) {
        String content = request.method()
                + ' '
                + request.target()
                + ' '
                + new String(request.body(), StandardCharsets.ISO_8859_1);
        return RendezvousHashing.hash(content);
    }

    /** Reaches homes, on this node or on others. */
    public interface Homes {
        /** Returns the rank of a request that the upstream beside this node runs now; empty if it runs none such. */
        OptionalInt rankOfRunning(String requestId);

        /** Sends an attempt and returns an action that cancels it. */
        Runnable attempt(
                String home, Attempt attempt, java.util.function.Consumer<Either<PeerFailure, Answer>> onResult);

        /** Asks how an attempt ended. */
        void inquire(String home, Inquiry inquiry, java.util.function.Consumer<Either<PeerFailure, Answer>> onResult);
    }
}
