package org.sardineshunt.node.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PlatformClientTest {
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
