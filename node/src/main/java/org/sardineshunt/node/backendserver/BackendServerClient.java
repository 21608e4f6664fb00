package org.sardineshunt.node.backendserver;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.protobuf.ByteString;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Connection;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.kit.LimitedSocketFactory;
import org.sardineshunt.kit.LimitedSocketFactory.LimitExceededException;
import org.sardineshunt.node.Answers;
import org.sardineshunt.protocol.PeerMessages.Answer;
import org.sardineshunt.protocol.PeerMessages.Header;
import org.sardineshunt.protocol.PeerMessages.RequestContent;

/**
 * Calls backend servers over loopback HTTP. Sends each attempt at most once: it neither follows redirects nor retries
 * failed connections. Thread-safe; results are delivered on the threads of the client.
 */
public final class BackendServerClient implements AutoCloseable {
    private static final String REQUEST_ID_HEADER = "Sardineshunt-Request-Id";
    private static final String DEADLINE_LEFT_HEADER = "Sardineshunt-Deadline-Left-Millis";
    private static final String VERDICT_HEADER = "Sardineshunt-Verdict";
    /** Headers not passed on in either direction: hop-by-hop headers, and others that each hop sets for itself. */
    private static final Set<String> UNFORWARDED_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "accept-encoding",
            "expect");

    private static final int MINIMUM_FINAL_STATUS = 200;
    private static final int MAXIMUM_STATUS = 599;

    // For the head and the trailers. Chunk sizes may need as many bytes as the body.
    private static final int MAXIMUM_OVERHEAD_BYTES = 512 << 10;

    private static final int MAXIMUM_CONCURRENT_CALLS = 4_096;
    private static final int MAXIMUM_IDLE_CONNECTIONS = 64;
    private static final int KEEP_ALIVE_SECONDS = 30;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final OkHttpClient client;
    private final int maximumBodyBytes;

    /**
     * Creates a client without open connections.
     *
     * @param maximumBodyBytes longest accepted body of an answer
     */
    public BackendServerClient(int maximumBodyBytes) {
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAXIMUM_CONCURRENT_CALLS);
        dispatcher.setMaxRequestsPerHost(MAXIMUM_CONCURRENT_CALLS);
        this.maximumBodyBytes = maximumBodyBytes;
        this.client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(MAXIMUM_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
                .connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                // The timeout of the whole call bounds its reads.
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .socketFactory(new LimitedSocketFactory(2L * maximumBodyBytes + MAXIMUM_OVERHEAD_BYTES))
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .eventListenerFactory(RequestSentListener::new)
                .build();
    }

    /**
     * Sends a request to a backend server.
     *
     * @param deadlineLeftMillis time until the call is cancelled, above 0; also sent to the backend server
     * @return the answer, or one without content that states why there is none; never completes exceptionally
     */
    public CompletableFuture<Answer> call(Announcement server, RequestContent content, long deadlineLeftMillis) {
        CompletableFuture<Answer> result = new CompletableFuture<>();
        AtomicBoolean requestSent = new AtomicBoolean();
        Request request;
        try {
            request = buildRequest(server, content, deadlineLeftMillis, requestSent);
        } catch (IllegalArgumentException malformed) {
            result.complete(Answers.failure(Verdict.NOT_RUN, Reason.MALFORMED_REQUEST, malformed.getMessage()));
            return result;
        }
        Call httpCall = client.newCall(request);
        httpCall.timeout().timeout(deadlineLeftMillis, TimeUnit.MILLISECONDS);
        httpCall.enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException failure) {
                result.complete(failureAnswer(failure, requestSent.get()));
            }

            @Override
            public void onResponse(Call call, Response response) {
                try (response) {
                    if (!isFinalStatus(response.code())) {
                        // What follows such a head can't be trusted either.
                        call.cancel();
                        result.complete(Answers.failure(
                                Verdict.MAY_HAVE_RUN,
                                Reason.ANSWER_CROSSED,
                                "the answer has status " + response.code()));
                        return;
                    }
                    result.complete(readAnswer(response, content));
                } catch (IOException failure) {
                    result.complete(cutOffAnswer(failure));
                }
            }
        });
        return result;
    }

    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private static Request buildRequest(
            Announcement server, RequestContent content, long deadlineLeftMillis, AtomicBoolean requestSent) {
        boolean withoutBody =
                content.getMethod().equals("GET") || content.getMethod().equals("HEAD");
        String mediaType = content.getHeadersList().stream()
                .filter(header -> header.getName().equalsIgnoreCase("Content-Type"))
                .map(Header::getValue)
                .findFirst()
                .orElse("application/octet-stream");
        RequestBody body =
                withoutBody ? null : RequestBody.create(content.getBody().toByteArray(), MediaType.parse(mediaType));
        Request.Builder request = new Request.Builder()
                .url("http://" + server.host() + ":" + server.port() + content.getTarget())
                .method(content.getMethod(), body);
        content.getHeadersList().stream()
                .filter(header -> !UNFORWARDED_HEADERS.contains(header.getName().toLowerCase(Locale.ROOT)))
                .filter(header -> !header.getName().equalsIgnoreCase("Content-Type"))
                .forEach(header -> request.addHeader(header.getName(), header.getValue()));
        return request.tag(AtomicBoolean.class, requestSent)
                .header(REQUEST_ID_HEADER, content.getRequestId())
                .header(DEADLINE_LEFT_HEADER, Long.toString(deadlineLeftMillis))
                .build();
    }

    // The HTTP library takes any three digits for a status.
    private static boolean isFinalStatus(int status) {
        return status >= MINIMUM_FINAL_STATUS && status <= MAXIMUM_STATUS;
    }

    private Answer readAnswer(Response response, RequestContent content) throws IOException {
        String answeredRequestId = response.header(REQUEST_ID_HEADER);
        if (answeredRequestId != null && !answeredRequestId.equals(content.getRequestId())) {
            return Answers.failure(
                    Verdict.MAY_HAVE_RUN, Reason.ANSWER_CROSSED, "the answer is for request " + answeredRequestId);
        }
        BufferedSource source = response.body().source();
        if (source.request(maximumBodyBytes + 1L)) {
            return Answers.failure(
                    Verdict.MAY_HAVE_RUN, Reason.ANSWER_TOO_LARGE, "the answer exceeds " + maximumBodyBytes + " bytes");
        }
        byte[] body = source.readByteArray();
        // Without the ID it may be the answer to an earlier request, while the backend server runs this one.
        if (response.code() == 503 && answeredRequestId != null && "not-run".equals(response.header(VERDICT_HEADER))) {
            return Answers.failure(Verdict.NOT_RUN, Reason.BACKEND_SERVER_SHED, "the backend server shed the request");
        }
        boolean serverError = response.code() >= 500;
        Answer.Builder answer = Answer.newBuilder()
                .setVerdict((serverError ? Verdict.MAY_HAVE_RUN : Verdict.RAN).ordinal())
                .setReason((serverError ? Reason.SERVER_ERROR : Reason.NONE).label())
                .setStatus(response.code())
                .setBody(ByteString.copyFrom(body));
        response.headers().forEach(header -> addHeader(answer, header.getFirst(), header.getSecond()));
        return answer.build();
    }

    private static void addHeader(Answer.Builder answer, String name, String value) {
        String lowerCaseName = name.toLowerCase(Locale.ROOT);
        if (!UNFORWARDED_HEADERS.contains(lowerCaseName) && !lowerCaseName.startsWith("sardineshunt-")) {
            answer.addHeaders(Header.newBuilder().setName(name).setValue(value));
        }
    }

    private static Answer failureAnswer(IOException failure, boolean requestSent) {
        if (failure instanceof LimitExceededException) {
            return tooLargeAnswer(failure);
        }
        boolean timedOut = failure instanceof InterruptedIOException;
        if (!requestSent) {
            // A connect timeout is a SocketTimeoutException; the timeout of the whole call is not.
            Reason reason = timedOut && !(failure instanceof java.net.SocketTimeoutException)
                    ? Reason.DEADLINE_PASSED
                    : Reason.BACKEND_SERVER_REFUSED;
            return Answers.failure(Verdict.NOT_RUN, reason, String.valueOf(failure.getMessage()));
        }
        if (timedOut) {
            return Answers.failure(Verdict.MAY_HAVE_RUN, Reason.DEADLINE_PASSED, "no answer before the deadline");
        }
        return Answers.failure(Verdict.MAY_HAVE_RUN, Reason.BACKEND_SERVER_FAILED, String.valueOf(failure.getMessage()))
                .toBuilder()
                .setUpstreamCrashed(!(failure instanceof ConnectException))
                .build();
    }

    private static Answer tooLargeAnswer(IOException failure) {
        return Answers.failure(Verdict.MAY_HAVE_RUN, Reason.ANSWER_TOO_LARGE, String.valueOf(failure.getMessage()));
    }

    private static Answer cutOffAnswer(IOException failure) {
        if (failure instanceof LimitExceededException) {
            return tooLargeAnswer(failure);
        }
        Reason reason = failure instanceof InterruptedIOException ? Reason.DEADLINE_PASSED : Reason.ANSWER_CUT;
        return Answers.failure(Verdict.MAY_HAVE_RUN, reason, "answer cut off: " + failure.getMessage());
    }

    /** Sets the flag of a request before its first byte is sent; until then the request can't have run. */
    private static final class RequestSentListener extends EventListener {
        private final AtomicBoolean requestSent;

        private RequestSentListener(Call call) {
            requestSent = call.request().tag(AtomicBoolean.class);
        }

        @Override
        public void connectionAcquired(Call call, Connection connection) {
            LimitedSocketFactory.startCall(connection);
        }

        @Override
        public void requestHeadersStart(Call call) {
            requestSent.set(true);
        }
    }
}
