package org.sardineshunt.engine.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.memory.MemoryBudget;
import org.sardineshunt.engine.http.HttpOutcome.Failed;
import org.sardineshunt.engine.http.HttpOutcome.Responded;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

class HttpClientStreamingTest {
    private static final String PART = "x".repeat(64 << 10);
    private static final int PARTS = 32;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient((EventLoop) eventLoops.next(), "");
    private final AtomicLong received = new AtomicLong();
    private final AtomicBoolean readToEnd = new AtomicBoolean();

    @AfterEach
    void close() {
        client.close();
        eventLoops.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }

    @Test
    void completesAResponseWithoutALengthWhenTheConnectionIsClosed() throws Exception {
        RawServer.Script script = connection -> {
            connection.readRequest();
            writeResponse(connection);
        };
        try (RawServer server = new RawServer(script)) {
            HttpOutcome outcome = send(server, Optional.empty()).join();
            assertThat(((Responded) outcome).streamed(), is(true));
        }
        assertThat(received.get(), is((long) PARTS * PART.length()));
        assertThat(readToEnd.get(), is(true));
    }

    /** Guards against a truncated response without a length that looks complete. */
    @Test
    void failsAResponseWithoutALengthWhenTheConnectionIsReset() throws Exception {
        RawServer.Script script = connection -> {
            connection.readRequest();
            writeResponse(connection);
            connection.reset();
        };
        try (RawServer server = new RawServer(script)) {
            assertThat(send(server, Optional.empty()).join(), instanceOf(Failed.class));
        }
        assertThat(readToEnd.get(), is(false));
    }

    /** Guards against the rest of a body that a server takes for another request. */
    @Test
    void closesTheConnectionAfterAResponseBeforeTheEndOfTheBody() throws Exception {
        CompletableFuture<Integer> next = new CompletableFuture<>();
        RawServer.Script script = connection -> {
            connection.readRequest();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            next.complete(connection.socket().getInputStream().read());
        };
        BodyPipe body = new BodyPipe(MemoryBudget.unlimited(), new BodyPipe.Source() {
            @Override
            public void consumed(int bytes) {}

            @Override
            public void cancelled() {}
        });
        try (RawServer server = new RawServer(script)) {
            HttpOutcome outcome =
                    send(server, Optional.of(new StreamedBody(body, 1_000))).join();
            assertThat(((Responded) outcome).response().status(), is(200));
            assertThat("end of the connection", next.join(), is(-1));
            body.write(new byte[10]);
            assertThat(body.isReadToEnd(), is(false));
        }
    }

    @Test
    void failsACallWhoseBodyIsInterrupted() throws Exception {
        BodyPipe body = new BodyPipe(MemoryBudget.unlimited(), new BodyPipe.Source() {
            @Override
            public void consumed(int bytes) {}

            @Override
            public void cancelled() {}
        });
        try (RawServer server = new RawServer(connection -> {
            connection.readRequest();
            body.fail("the caller has left");
            connection.socket().getInputStream().readAllBytes();
        })) {
            Failed outcome = (Failed)
                    send(server, Optional.of(new StreamedBody(body, 1_000))).join();
            assertThat(outcome.kind(), is(HttpOutcome.FailureKind.CANCELLED));
            assertThat(outcome.detail(), containsString("the caller has left"));
        }
    }

    private static void writeResponse(RawServer.Connection connection) throws java.io.IOException {
        connection.write("HTTP/1.1 200 OK\r\n\r\n");
        for (int part = 0; part < PARTS; part++) {
            connection.write(PART);
        }
    }

    private CompletableFuture<HttpOutcome> send(RawServer server, Optional<StreamedBody> body) {
        CompletableFuture<HttpOutcome> outcome = new CompletableFuture<>();
        client.send(
                server.address(),
                new HttpRequestData("POST", "/", List.of(), new byte[0]),
                new HttpClient.Options(20_000, 10_000),
                new CallStreams(
                        body, head -> true, response -> read(response.body().pipe())),
                outcome::complete);
        return outcome;
    }

    private void read(BodyPipe pipe) {
        pipe.attach(() -> {
            for (byte[] part = pipe.read(); part != null; part = pipe.read()) {
                received.addAndGet(part.length);
            }
            readToEnd.set(pipe.isReadToEnd());
        });
    }
}
