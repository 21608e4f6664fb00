package org.sardineshunt.node.backendserver;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.node.Answers;
import org.sardineshunt.protocol.PeerMessages.Answer;
import org.sardineshunt.protocol.PeerMessages.RequestContent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class BackendServerClientTest {
    private static final int MAXIMUM_BODY_BYTES = 64;
    private static final long LONG_DEADLINE_MILLIS = 5_000;
    private static final long SHORT_DEADLINE_MILLIS = 200;
    private static final long LIMIT_OF_SENT_BYTES = 64L << 20;

    private final BackendServerClient client = new BackendServerClient(MAXIMUM_BODY_BYTES);
    private ServerSocket server;

    @AfterEach
    void close() throws IOException {
        client.close();
        if (server != null) {
            server.close();
        }
    }

    @Test
    void requestWithCompleteAnswerHasRun() throws IOException {
        Answer answer = callServerThatSends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

        assertThat(Answers.verdict(answer), is(Verdict.RAN));
        assertThat(answer.getBody().toStringUtf8(), is("ok"));
    }

    @Test
    void truncatedAnswerIsNotForwarded() throws IOException {
        assertOutcome(
                callServerThatSends("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nonly a part"),
                Verdict.MAY_HAVE_RUN,
                Reason.ANSWER_CUT);
    }

    @Test
    void chunkedAnswerWithoutLastChunkIsNotForwarded() throws IOException {
        assertOutcome(
                callServerThatSends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
                Verdict.MAY_HAVE_RUN,
                Reason.ANSWER_CUT);
    }

    @Test
    void answerToAnotherRequestIsNotForwarded() throws IOException {
        assertOutcome(
                callServerThatSends("HTTP/1.1 200 OK\r\nSardineshunt-Request-Id: other\r\nContent-Length: 2\r\n\r\nok"),
                Verdict.MAY_HAVE_RUN,
                Reason.ANSWER_CROSSED);
    }

    @Test
    void answerAboveTheSizeLimitIsNotForwarded() throws IOException {
        assertOutcome(
                callServerThatSends("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + "x".repeat(100)),
                Verdict.MAY_HAVE_RUN,
                Reason.ANSWER_TOO_LARGE);
    }

    /** Guards against passing on a status that is none (MIXED): the HTTP library takes any three digits. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "101", "600", "999"})
    void answerWithoutAFinalStatusIsNotForwarded(String status) throws IOException {
        assertOutcome(
                callServerThatSends("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok"),
                Verdict.MAY_HAVE_RUN,
                Reason.ANSWER_CROSSED);
    }

    /** Guards against bytes without end (LOST), some of which the HTTP library collects without a limit. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "|x",
                "HTTP/1.1 200 |a",
                "HTTP/1.1 200 OK\r\nX-Long: |a",
                "HTTP/1.1 200 OK\r\n|a:b\r\n",
                "|HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\n|x",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n|0",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;|x",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n|a:b\r\n",
                "HTTP/1.1 503 Busy\r\nSardineshunt-Request-Id: own\r\nSardineshunt-Verdict: not-run\r\n\r\n|x"
            })
    void answerWithoutEndIsCutOff(String answer) throws Exception {
        server = new ServerSocket(0);
        CompletableFuture<Long> sentBytes = CompletableFuture.supplyAsync(() -> sendWithoutEnd(answer));

        Answer received = call(server.getLocalPort(), LONG_DEADLINE_MILLIS);

        assertThat(Answers.verdict(received), is(Verdict.MAY_HAVE_RUN));
        // Also counts what the buffers of the sockets hold.
        assertThat(sentBytes.get(10, TimeUnit.SECONDS), lessThan(LIMIT_OF_SENT_BYTES));
    }

    // Returns the number of bytes sent until the client closed the connection, or the limit.
    private long sendWithoutEnd(String answer) {
        byte[] repeated =
                answer.substring(answer.indexOf('|') + 1).repeat(1_000).getBytes(StandardCharsets.US_ASCII);
        long sent = 0;
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[4_096]);
            socket.getOutputStream()
                    .write(answer.substring(0, answer.indexOf('|')).getBytes(StandardCharsets.US_ASCII));
            while (sent < LIMIT_OF_SENT_BYTES) {
                socket.getOutputStream().write(repeated);
                sent += repeated.length;
            }
        } catch (IOException closedByClient) {
            return sent;
        }
        return sent;
    }

    @Test
    void shedRequestHasNotRun() throws IOException {
        assertOutcome(
                callServerThatSends("HTTP/1.1 503 Busy\r\nSardineshunt-Request-Id: own\r\n"
                        + "Sardineshunt-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"),
                Verdict.NOT_RUN,
                Reason.BACKEND_SERVER_SHED);
    }

    /** Guards against a false not-run: the answer may be that of an earlier request. */
    @Test
    void shedAnswerWithoutTheRequestIdProvesNothing() throws IOException {
        assertOutcome(
                callServerThatSends("HTTP/1.1 503 Busy\r\nSardineshunt-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"),
                Verdict.MAY_HAVE_RUN,
                Reason.SERVER_ERROR);
    }

    @Test
    void errorWithoutVerdictHeaderMayHaveRun() throws IOException {
        assertOutcome(
                callServerThatSends("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
                Verdict.MAY_HAVE_RUN,
                Reason.SERVER_ERROR);
    }

    @Test
    void requestOnClosedConnectionMayHaveRunAndCountsAsCrash() throws IOException {
        Answer answer = callServerThatSends("");

        assertOutcome(answer, Verdict.MAY_HAVE_RUN, Reason.BACKEND_SERVER_FAILED);
        assertThat(answer.getUpstreamCrashed(), is(true));
    }

    @Test
    void requestWithoutAnswerMayHaveRunAtItsDeadline() throws IOException {
        server = new ServerSocket(0);

        assertOutcome(call(server.getLocalPort(), SHORT_DEADLINE_MILLIS), Verdict.MAY_HAVE_RUN, Reason.DEADLINE_PASSED);
    }

    @Test
    void requestOnRefusedConnectionHasNotRun() throws IOException {
        server = new ServerSocket(0);
        int port = server.getLocalPort();
        server.close();

        assertOutcome(call(port, LONG_DEADLINE_MILLIS), Verdict.NOT_RUN, Reason.BACKEND_SERVER_REFUSED);
    }

    private static void assertOutcome(Answer answer, Verdict verdict, Reason reason) {
        assertThat(answer.getDetail(), Answers.reason(answer), is(reason));
        assertThat(Answers.verdict(answer), is(verdict));
    }

    private Answer callServerThatSends(String response) throws IOException {
        server = new ServerSocket(0);
        Thread thread = new Thread(() -> sendOnce(response), "fake-backend-server");
        thread.start();
        return call(server.getLocalPort(), LONG_DEADLINE_MILLIS);
    }

    private void sendOnce(String response) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[4_096]);
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private Answer call(int port, long deadlineLeftMillis) {
        Announcement announcement = new Announcement("u", "s", "127.0.0.1", port, 1, "ready", Map.of());
        RequestContent content = RequestContent.newBuilder()
                .setRequestId("own")
                .setMethod("GET")
                .setTarget("/x")
                .build();
        return client.call(announcement, content, deadlineLeftMillis).join();
    }
}
