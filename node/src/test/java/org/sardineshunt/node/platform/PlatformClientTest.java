package org.sardineshunt.node.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PlatformClientTest {
    private static final long LIMIT_OF_SENT_BYTES = 128L << 20;

    private ServerSocket server;
    private PlatformClient client;

    @BeforeEach
    void open() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        client = new PlatformClient("http://127.0.0.1:" + server.getLocalPort(), Duration.ofSeconds(5));
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        server.close();
    }

    /** Guards against taking a write for refused whose answer has a status that HTTP doesn't define. */
    @ParameterizedTest
    @CsvSource({
        "000, true",
        "099, true",
        "600, true",
        "500, true",
        "504, true",
        "400, false",
        "429, false",
        "503, false"
    })
    void onlyARefusalProvesThatAWriteHasNoEffect(String status, boolean mayHaveTakenEffect) {
        Thread thread = new Thread(() -> respondOnce(status), "fake-platform");
        thread.start();

        CompletionException failure =
                assertThrows(CompletionException.class, () -> client.putObject("name", new byte[1])
                        .join());

        assertThat(((PlatformFailure) failure.getCause()).mayHaveTakenEffect(), is(mayHaveTakenEffect));
    }

    /** Guards against keeping a response without end (LOST). */
    @Test
    void cutsOffAResponseWithoutEnd() throws Exception {
        CompletableFuture<Long> sentBytes = CompletableFuture.supplyAsync(this::respondWithoutEnd);

        CompletionException failure = assertThrows(
                CompletionException.class, () -> client.getObject("name").join());

        assertThat(failure.getCause().getMessage(), containsString("received more than"));
        // Also counts what the buffers of the sockets hold.
        assertThat(sentBytes.get(10, TimeUnit.SECONDS), lessThan(LIMIT_OF_SENT_BYTES));
    }

    // Returns the number of bytes sent until the client closed the connection, or the limit.
    private long respondWithoutEnd() {
        long sent = 0;
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[4_096]);
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            byte[] bytes = new byte[64 << 10];
            while (sent < LIMIT_OF_SENT_BYTES) {
                socket.getOutputStream().write(bytes);
                sent += bytes.length;
            }
        } catch (IOException closedByClient) {
            return sent;
        }
        return sent;
    }

    private void respondOnce(String status) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[4_096]);
            socket.getOutputStream()
                    .write(("HTTP/1.1 " + status + " Text\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            // Keeps the connection open until the client closes it.
            socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
        } catch (IOException closed) {
            // The test has ended.
        }
    }
}
