package org.sardineshunt.node.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Option;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.coordination.limit.AccountLimiter;
import org.sardineshunt.kit.HttpRequest;
import org.sardineshunt.kit.HttpResponse;
import org.sardineshunt.kit.Json;
import org.sardineshunt.node.Answers;
import org.sardineshunt.node.FailureLog;
import org.sardineshunt.node.NodeSettings.RouteSettings;
import org.sardineshunt.node.RotationView;
import org.sardineshunt.node.backendserver.HomeService;
import org.sardineshunt.node.backendserver.HomeService.NodeContext;
import org.sardineshunt.node.peer.PeerClient;
import org.sardineshunt.node.platform.ClaimStore;
import org.sardineshunt.protocol.PeerMessages.Answer;
import org.sardineshunt.protocol.PeerMessages.Handover;
import org.sardineshunt.protocol.PeerMessages.Header;
import org.sardineshunt.protocol.PeerMessages.KeyedRequest;
import org.sardineshunt.protocol.PeerMessages.RequestContent;

/**
 * Answers the requests of callers. Requests are read and answers written on event loops; everything between runs on the
 * control thread, to which the methods of this class are confined unless they say otherwise.
 *
 * <p>Every answer carries {@code Sardineshunt-Verdict}, {@code Sardineshunt-Reason} and
 * {@code Sardineshunt-Request-Id}, except those of the ticket and warm-up paths.
 */
public final class CallerService {
    /** Header with the idempotency key of a request. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    /** Header with which a caller declares that it has never sent this key before; its value is {@code true}. */
    public static final String FIRST_SEND_HEADER = "Sardineshunt-First-Send";
    /** Header with the time until the deadline of a request, in milliseconds. */
    public static final String DEADLINE_HEADER = "Sardineshunt-Deadline-Left-Millis";
    /** Header with the client account of a request. */
    public static final String ACCOUNT_HEADER = "Sardineshunt-Account";

    /** Path on which a starting node calls itself to warm up. */
    public static final String WARM_UP_PATH = "/sardineshunt/warm-up";
    /** Path at which a POST returns a new ticket. */
    public static final String TICKETS_PATH = "/sardineshunt/tickets";

    private static final String ANONYMOUS_ACCOUNT = "anonymous";
    private static final int MAXIMUM_KEY_LENGTH = 200;
    private static final long EXPIRY_PERIOD_MILLIS = 1_000;

    private final NodeContext context;
    private final PeerClient peers;
    private final RouteTable routeTable;
    private final AccountLimiter accountLimiter;
    private final HomeSelector homeSelector;
    private final Dispatcher dispatcher;
    private final KeyService keyService;
    private final FailureLog failureLog;
    private long lastRequestNumber;
    private boolean ready;
    private boolean closingConnections;
    private boolean stopping;
    private int inFlight;

    /** Creates the service; it refuses requests until {@link #setReady} is called with true. */
    public CallerService(
            NodeContext context,
            PeerClient peers,
            HomeService home,
            RotationView rotations,
            ClaimStore claims,
            Random random) {
        this.context = context;
        this.peers = peers;
        this.failureLog = new FailureLog(context.control());
        this.routeTable = new RouteTable(context.settings().routes());
        this.accountLimiter = new AccountLimiter(
                context.settings().accounts().requestsPerSecond(),
                context.settings().accounts().burst(),
                context.settings().accounts().kept());
        this.homeSelector = new HomeSelector(rotations, peers.self(), random);
        this.dispatcher =
                new Dispatcher(context.control(), peers, home, homeSelector, context.crashes(), context.metrics());
        this.keyService = new KeyService(
                context.control(),
                peers,
                dispatcher,
                claims,
                context.settings().limits().keptKeys());
        context.control()
                .every(
                        EXPIRY_PERIOD_MILLIS,
                        () -> homeSelector.removeExpired(context.control().nowMillis()));
    }

    /** Answers a caller's request; may be called from any thread. */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        if (request.method().equals("POST") && request.path().equals(TICKETS_PATH)) {
            return issueTicket();
        }
        if (request.path().equals(WARM_UP_PATH)) {
            return context.control().submit(() -> HttpResponse.text(200, "text/plain", "warm\n"));
        }
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        long startedNanos = System.nanoTime();
        context.control().execute(() -> handleOnControlThread(request, startedNanos, result));
        return result;
    }

    /** Makes the service accept requests (true), or refuse them because the node is not ready (false). */
    public void setReady(boolean nodeReady) {
        ready = nodeReady;
    }

    /** Closes connections of callers after their next answer from now on, and issues no more tickets. */
    public void startClosingConnections() {
        closingConnections = true;
    }

    /** Refuses all new requests of callers from now on, because the node is stopping. */
    public void stopAccepting() {
        stopping = true;
    }

    /** Returns the number of requests of callers and peers that have not ended; one may be counted more than once. */
    public int inFlight() {
        return inFlight + dispatcher.inFlight();
    }

    /** Runs a request of a peer whose ticket this node is the authority for. */
    public CompletableFuture<Answer> runKeyed(KeyedRequest request) {
        inFlight++;
        return keyService.runAsAuthority(request).whenComplete((answer, failure) -> inFlight--);
    }

    /** Takes over the outcomes of keyed requests of a node that stops; returns true. */
    public boolean receiveHandover(Handover handover) {
        return keyService.receiveHandover(handover);
    }

    /** Hands all outcomes of keyed requests over to another node; returns its id, or an empty text if there is none. */
    public CompletableFuture<String> handOver() {
        return keyService.handOver();
    }

    private CompletionStage<HttpResponse> issueTicket() {
        return context.control().submit(() -> {
            boolean refused = !ready || closingConnections;
            return refused
                    ? HttpResponse.problem(503, "no tickets now", "the node is starting or stopping")
                    : HttpResponse.json(
                            200, new TicketBody(keyService.issueTicket().text()));
        });
    }

    private void handleOnControlThread(HttpRequest request, long startedNanos, CompletableFuture<HttpResponse> result) {
        String requestId = nextRequestId();
        Option<RouteSettings> route = routeTable.find(request.method(), request.path());
        inFlight++;
        admit(request, requestId, route).whenComplete((answer, failure) -> {
            inFlight--;
            Answer finalAnswer = failure == null
                    ? answer
                    : Answers.failure(Verdict.MAY_HAVE_RUN, Reason.KEY_OUTCOME_UNKNOWN, String.valueOf(failure));
            String rank = route.map(RouteSettings::rank).getOrElse("none");
            double seconds = (System.nanoTime() - startedNanos) / 1e9;
            context.metrics()
                    .recordAnswer(rank, Answers.verdict(finalAnswer).label(), Answers.reason(finalAnswer), seconds);
            if (Answers.verdict(finalAnswer) != Verdict.RAN) {
                logFailure(requestId, route, finalAnswer);
            }
            result.complete(toResponse(request, requestId, finalAnswer));
        });
    }

    /** Checks a request and dispatches it, or refuses it. */
    private CompletableFuture<Answer> admit(HttpRequest request, String requestId, Option<RouteSettings> matchedRoute) {
        boolean mayBeRepeat = mayBeRepeat(request, matchedRoute);
        if (!ready || stopping) {
            return refuse(
                    mayBeRepeat,
                    stopping ? Reason.SHUTTING_DOWN : Reason.NOT_READY,
                    "the node is starting or stopping");
        }
        if (matchedRoute.isEmpty()) {
            return refuse(false, Reason.NO_ROUTE, "no route for " + request.method() + ' ' + request.path());
        }
        RouteSettings route = matchedRoute.get();
        String account = request.header(ACCOUNT_HEADER).getOrElse(ANONYMOUS_ACCOUNT);
        if (!accountLimiter.tryAcquire(context.control().nowMillis(), account)) {
            return refuse(mayBeRepeat, Reason.ACCOUNT_LIMIT, "account '" + account + "' sends too many requests");
        }
        Option<String> key = request.header(IDEMPOTENCY_KEY_HEADER);
        if (key.exists(text -> text.isBlank() || text.length() > MAXIMUM_KEY_LENGTH)) {
            return refuse(
                    mayBeRepeat,
                    Reason.MALFORMED_REQUEST,
                    IDEMPOTENCY_KEY_HEADER + " is not 1 to " + MAXIMUM_KEY_LENGTH + " characters");
        }
        if (key.isEmpty() && route.keyRequired()) {
            return refuse(false, Reason.KEY_REQUIRED, "this route requires the header " + IDEMPOTENCY_KEY_HEADER);
        }
        return timeLimitMillis(request, route)
                .map(limitMillis -> toContent(request, requestId, route, limitMillis))
                .map(content -> key.isEmpty() || route.idempotent()
                        ? dispatcher.dispatch(content)
                        : runWithKey(request, route, account, key.get(), content))
                .getOrElse(() ->
                        refuse(mayBeRepeat, Reason.MALFORMED_REQUEST, DEADLINE_HEADER + " is not a positive number"));
    }

    private CompletableFuture<Answer> runWithKey(
            HttpRequest request, RouteSettings route, String account, String key, RequestContent content) {
        boolean firstSend = request.header(FIRST_SEND_HEADER).contains("true");
        return keyService.run(route.service() + '/' + account, key, content).thenApply(answer -> {
            // The claim failed, so nothing ran now, nor before, as the caller declares. With the new ticket as the key
            // of its next try the caller needs no claim at the platform.
            boolean claimFailed = Answers.reason(answer) == Reason.PLATFORM_UNAVAILABLE
                    || Answers.reason(answer) == Reason.CLAIM_LIMIT;
            return firstSend && claimFailed
                    ? answer.toBuilder()
                            .setVerdict(Verdict.NOT_RUN.ordinal())
                            .addHeaders(Header.newBuilder()
                                    .setName("Sardineshunt-Ticket")
                                    .setValue(keyService.issueTicket().text()))
                            .build()
                    : answer;
        });
    }

    private static Option<Long> timeLimitMillis(HttpRequest request, RouteSettings route) {
        long routeLimitMillis = route.deadline().millis();
        return request.header(DEADLINE_HEADER)
                .map(text -> text.matches("[1-9]\\d{0,8}")
                        ? Option.some(Math.min(routeLimitMillis, Long.parseLong(text)))
                        : Option.<Long>none())
                .getOrElse(() -> Option.some(routeLimitMillis));
    }

    private static RequestContent toContent(
            HttpRequest request, String requestId, RouteSettings route, long timeLimitMillis) {
        RequestContent.Builder content = RequestContent.newBuilder()
                .setRequestId(requestId)
                .setService(route.service())
                .setRank(route.rank())
                .setIdempotent(route.idempotent())
                .setDeadlineLeftMillis(timeLimitMillis)
                .setMethod(request.method())
                .setTarget(request.target())
                .setBody(com.google.protobuf.ByteString.copyFrom(request.body()))
                .setFingerprint(Fingerprint.of(route.service(), request));
        request.headers().forEach((name, value) -> {
            // Headers between callers and this proxy are not for backend servers.
            if (!name.regionMatches(true, 0, "Sardineshunt-", 0, "Sardineshunt-".length())) {
                content.addHeaders(Header.newBuilder().setName(name).setValue(value));
            }
        });
        return content.build();
    }

    private HttpResponse toResponse(HttpRequest request, String requestId, Answer answer) {
        boolean hasBackendServerBody =
                Answers.verdict(answer) == Verdict.RAN || Answers.reason(answer) == Reason.SERVER_ERROR;
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        answer.getHeadersList().forEach(header -> headers.add(Map.entry(header.getName(), header.getValue())));
        headers.add(Map.entry("Sardineshunt-Verdict", Answers.verdict(answer).label()));
        headers.add(Map.entry("Sardineshunt-Reason", Answers.reason(answer).label()));
        headers.add(Map.entry("Sardineshunt-Request-Id", requestId));
        if (closingConnections) {
            headers.add(Map.entry("Connection", "close"));
        }
        if (hasBackendServerBody) {
            byte[] body = answer.getBody().toByteArray();
            return new HttpResponse(answer.getStatus(), headers, body);
        }
        headers.add(Map.entry("Content-Type", "application/problem+json"));
        Problem problem = new Problem(
                Answers.reason(answer).label(),
                answer.getStatus(),
                answer.getDetail(),
                Answers.verdict(answer).label());
        byte[] body = (Json.write(problem) + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return new HttpResponse(answer.getStatus(), headers, body);
    }

    private void logFailure(String requestId, Option<RouteSettings> route, Answer answer) {
        RequestContent content = RequestContent.newBuilder()
                .setRequestId(requestId)
                .setService(route.map(RouteSettings::service).getOrElse(""))
                .setRank(route.map(RouteSettings::rank).getOrElse(""))
                .build();
        failureLog.logFailure(content, "", Answers.verdict(answer), answer.getReason(), answer.getDetail());
    }

    private String nextRequestId() {
        lastRequestNumber++;
        return peers.selfId()
                + '-'
                + Long.toString(peers.self().incarnation(), 36)
                + '-'
                + Long.toString(lastRequestNumber, 36);
    }

    // An earlier request with the same key may have run; a refusal that did not look the key up can't rule that out.
    private static boolean mayBeRepeat(HttpRequest request, Option<RouteSettings> route) {
        return request.header(IDEMPOTENCY_KEY_HEADER).isDefined()
                && !request.header(FIRST_SEND_HEADER).contains("true")
                && route.exists(found -> !found.idempotent());
    }

    private static CompletableFuture<Answer> refuse(boolean mayBeRepeat, Reason reason, String detail) {
        Verdict verdict = mayBeRepeat ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        return CompletableFuture.completedFuture(Answers.failure(verdict, reason, detail));
    }

    private record TicketBody(String ticket) {}

    private record Problem(String title, int status, String detail, String verdict) {}
}
