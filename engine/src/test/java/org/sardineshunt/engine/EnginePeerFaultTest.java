package org.sardineshunt.engine;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.Header;
import org.sardineshunt.engine.protocol.EngineMessages.Hello;
import org.sardineshunt.engine.protocol.EngineMessages.NodeRecord;
import org.sardineshunt.engine.protocol.EngineMessages.UpstreamRecord;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class EnginePeerFaultTest {
    private static final String TABLE = "sardineshunt-nodes";
    private static final long TIME_LEFT_MILLIS = 9_000;

    private final EngineFleet fleet = new EngineFleet(1);

    @AfterEach
    void close() {
        fleet.close();
    }

    /** Guards against leaving a caller without an answer until its deadline. */
    @Test
    void treatsAnInvalidAnswerOfAPeerAsAFaultOfTheLink() throws Exception {
        List<UnaryOperator<Answer.Builder>> faults = List.of(
                answer -> answer.setVerdict(99),
                answer -> answer.setVerdict(-1),
                answer -> answer.setStatus(7),
                answer -> answer.setStatus(-200),
                answer -> answer.addHeaders(Header.newBuilder().setName("a b").setValue("c")),
                answer -> answer.addHeaders(Header.newBuilder().setName("a").setValue("b\r\nX: c")),
                answer -> answer.addHeaders(Header.newBuilder().setValue("no name")));
        fleet.upstream(0).setHandler(exchange -> fleet.upstream(0).fail(exchange));
        for (UnaryOperator<Answer.Builder> fault : faults) {
            Answer answer = fault.apply(Answer.newBuilder()
                            .setVerdict(2)
                            .setReason("none")
                            .setStatus(200)
                            .setBody(ByteString.copyFromUtf8("odd")))
                    .build();
            try (ServerSocket peer = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
                startPeer(peer, answer);
                long startedNanos = System.nanoTime();
                int status = awaitOddAnswer(peer);
                assertThat("answer with " + answer.getVerdict(), status == 200, is(false));
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos), lessThan(TIME_LEFT_MILLIS));
            }
        }
        assertThat(
                fleet.logLines().stream()
                        .filter(line -> line.contains("internal-error"))
                        .toList(),
                is(List.of()));
    }

    /** The peer closes each link without a hello, so the pauses between probes grow to seconds. */
    @Test
    void probesALostPeerAtOnceWhenItOpensALink() throws Exception {
        int ownPort = NodeRecord.parseFrom(fleet.table().value(TABLE, "node-0")).getPort();
        try (ServerSocket peer = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
            fleet.table().put(TABLE, "odd", record(peer.getLocalPort()).toByteArray());
            fleet.upstream(0).setHandler(exchange -> {});
            IntStream.range(0, 8).forEach(request -> fleet.send(0, "GET", EngineFleet.LOOKUP_PATH, TIME_LEFT_MILLIS));
            for (int probe = 0; probe < 6; probe++) {
                peer.accept().close();
            }
            peer.setSoTimeout(1_500);
            try (Socket link = new Socket("127.0.0.1", ownPort)) {
                Hello hello = Hello.newBuilder()
                        .setProtocolVersion(1)
                        .setNodeId("odd")
                        .setIncarnation(2)
                        .build();
                write(link, Frame.newBuilder().setHello(hello).build());
                peer.accept().close();
            }
        }
    }

    @Test
    void servesBesideFramesThatAreNoMessages() throws Exception {
        int port = NodeRecord.parseFrom(fleet.table().value(TABLE, "node-0")).getPort();
        Random random = new Random(3);
        for (int round = 0; round < 60; round++) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                DataOutputStream output = new DataOutputStream(socket.getOutputStream());
                byte[] bytes = new byte[random.nextInt(300)];
                random.nextBytes(bytes);
                int length = round % 3 == 0 ? random.nextInt() : bytes.length;
                output.writeInt(length);
                output.write(bytes);
                output.flush();
            }
        }
        List<Integer> statuses = IntStream.range(0, 4)
                .map(request -> fleet.sendAndGetStatus(0, "POST", EngineFleet.BOOKING_PATH))
                .boxed()
                .toList();
        assertThat(statuses, everyItem(is(200)));
    }

    // Sends lookups until the odd peer has received an attempt, and returns the status of the last one.
    private int awaitOddAnswer(ServerSocket peer) throws InvalidProtocolBufferException {
        fleet.table().put(TABLE, "odd", record(peer.getLocalPort()).toByteArray());
        int before = countLines("home-unreachable");
        int[] status = new int[1];
        Await.until("an attempt was sent to the odd peer", () -> {
            status[0] = fleet.sendAndGetStatus(0, "GET", EngineFleet.LOOKUP_PATH);
            return countLines("home-unreachable") > before;
        });
        return status[0];
    }

    private int countLines(String event) {
        return (int) fleet.logLines().stream()
                .filter(line -> line.contains('"' + event + '"'))
                .count();
    }

    private static NodeRecord record(int port) {
        return NodeRecord.newBuilder()
                .setNodeId("odd")
                .setIncarnation(port)
                .setHost("127.0.0.1")
                .setPort(port)
                .setDataCentre("dc-1")
                .setUpstream(UpstreamRecord.newBuilder()
                        .setId("odd-upstream")
                        .setService("service")
                        .setBorn(1)
                        .setSequence(1)
                        .setSlots(4))
                .build();
    }

    private static void startPeer(ServerSocket peer, Answer answer) {
        Thread thread = new Thread(
                () -> {
                    try {
                        while (true) {
                            serve(peer.accept(), answer);
                        }
                    } catch (IOException closed) {
                        // The test has closed the peer.
                    }
                },
                "odd-peer");
        thread.setDaemon(true);
        thread.start();
    }

    private static void serve(Socket socket, Answer answer) {
        try (socket) {
            DataInputStream input = new DataInputStream(socket.getInputStream());
            Hello hello = Hello.newBuilder()
                    .setProtocolVersion(1)
                    .setNodeId("odd")
                    .setIncarnation(1)
                    .build();
            write(socket, Frame.newBuilder().setHello(hello).build());
            while (true) {
                Frame frame = Frame.parseFrom(input.readNBytes(input.readInt()));
                if (frame.hasAttempt() || frame.hasInquiry()) {
                    write(
                            socket,
                            Frame.newBuilder()
                                    .setCorrelation(frame.getCorrelation())
                                    .setAnswer(answer)
                                    .build());
                }
            }
        } catch (IOException closed) {
            // The engine has closed the link.
        }
    }

    private static void write(Socket socket, Frame frame) throws IOException {
        DataOutputStream output = new DataOutputStream(socket.getOutputStream());
        output.writeInt(frame.getSerializedSize());
        output.write(frame.toByteArray());
        output.flush();
    }
}
