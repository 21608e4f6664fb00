package org.sardineshunt.load;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sardineshunt.protocol.PeerMessages.Envelope;
import org.sardineshunt.protocol.PeerMessages.Hello;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/** Sends malformed frames and requests to a node, which must refuse them and go on serving. */
class BadInputTest {
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static LocalFleet fleet;

    @BeforeAll
    static void startFleet() {
        fleet = SmallFleet.start(1);
    }

    @AfterAll
    static void stopFleet() {
        fleet.close();
    }

    @Test
    void frameOverTheLimitClosesTheLinkAndIsCounted() throws IOException {
        sendToPeerPort(ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array());

        assertViolationCounted("frame-too-long");
    }

    @Test
    void undecodableFrameClosesTheLinkAndIsCounted() throws IOException {
        sendToPeerPort(frame(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff}));

        assertViolationCounted("undecodable");
    }

    @Test
    void unknownProtocolVersionClosesTheLinkAndIsCounted() throws IOException {
        Hello hello = Hello.newBuilder().setProtocolVersion(99).setNodeId("x").build();
        sendToPeerPort(frame(Envelope.newBuilder().setHello(hello).build().toByteArray()));

        assertViolationCounted("protocol-version");
    }

    @Test
    void messageBeforeHelloClosesTheLinkAndIsCounted() throws IOException {
        sendToPeerPort(frame(Envelope.newBuilder().setCorrelation(1).build().toByteArray()));

        assertViolationCounted("no-hello");
    }

    @Test
    void malformedHttpIsAnsweredWithClientError() throws IOException {
        assertThat(rawHttp("NONSENSE\r\n\r\n"), startsWith("HTTP/1.1 400"));
        assertNodeStillServes();
    }

    @Test
    void oversizedHeaderIsAnsweredWithClientError() throws IOException {
        assertThat(
                rawHttp("GET /seats HTTP/1.1\r\nHost: x\r\nX-Long: " + "a".repeat(40_000) + "\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertNodeStillServes();
    }

    @Test
    void oversizedBodyIsRefused() throws IOException {
        assertThat(
                rawHttp("POST /seats HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"),
                startsWith("HTTP/1.1 413"));
        assertNodeStillServes();
    }

    @Test
    void malformedDeadlineNamesTheHeader() {
        SmallFleet.Reply reply = SmallFleet.send(
                fleet, "dc-1-n1", "GET", "/seats/1", Map.of("Sardineshunt-Deadline-Left-Millis", "soon"));

        assertThat(reply.status(), is(400));
        assertThat(reply.verdict(), is("not-run"));
        assertThat(reply.body(), containsString("Sardineshunt-Deadline-Left-Millis"));
    }

    @Test
    void malformedAnnouncementNamesTheField() {
        SmallFleet.Reply reply = SmallFleet.send(fleet.operatorUrl("dc-1-n1") + "/announcements", "POST", Map.of());

        assertThat(reply.status(), is(400));
        assertThat(reply.body(), containsString("port: a value is required"));
    }

    private static void assertViolationCounted(String kind) {
        OperatorClient operatorClient = new OperatorClient(fleet);
        operatorClient.await(
                "violation counted", () -> SmallFleet.send(fleet.operatorUrl("dc-1-n1") + "/metrics", "GET", Map.of())
                        .body()
                        .contains("sardineshunt_protocol_violations_total{kind=\"" + kind + "\"}"));
        assertNodeStillServes();
    }

    private static void assertNodeStillServes() {
        SmallFleet.Reply reply = SmallFleet.send(fleet, "dc-1-n1", "GET", "/seats/1", Map.of("X-Work-Id", "w"));
        assertThat(reply.verdict(), is("ran"));
    }

    private static byte[] frame(byte[] content) {
        return ByteBuffer.allocate(4 + content.length)
                .putInt(content.length)
                .put(content)
                .array();
    }

    private static void sendToPeerPort(byte[] bytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", fleet.node("dc-1-n1").peerPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(bytes);
            InputStream in = socket.getInputStream();
            while (in.read() >= 0) {
                // Reads until the node closes the connection.
            }
        }
    }

    private static String rawHttp(String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", fleet.node("dc-1-n1").callerPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] statusLineStart = socket.getInputStream().readNBytes(12);
            return new String(statusLineStart, StandardCharsets.US_ASCII);
        }
    }
}
