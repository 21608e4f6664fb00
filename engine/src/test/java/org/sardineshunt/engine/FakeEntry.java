package org.sardineshunt.engine;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;

import com.google.protobuf.InvalidProtocolBufferException;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.Header;
import org.sardineshunt.engine.protocol.EngineMessages.Hello;
import org.sardineshunt.engine.protocol.EngineMessages.Inquiry;
import org.sardineshunt.engine.protocol.EngineMessages.NodeRecord;

/** A link to the home of an engine, as the entry of another node opens it. Carries one call at a time. */
final class FakeEntry implements AutoCloseable {
    private static final String NODES_TABLE = "sardineshunt-nodes";
    private static final int PROTOCOL_VERSION = 1;

    private final Socket socket;
    private final DataInputStream input;
    private final DataOutputStream output;
    private final long homeIncarnation;
    private long lastCorrelation;

    FakeEntry(EngineFleet fleet, String homeId) throws IOException {
        NodeRecord home = NodeRecord.parseFrom(fleet.table().value(NODES_TABLE, homeId));
        socket = new Socket(home.getHost(), home.getPort());
        input = new DataInputStream(socket.getInputStream());
        output = new DataOutputStream(socket.getOutputStream());
        homeIncarnation = home.getIncarnation();
        write(Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setProtocolVersion(PROTOCOL_VERSION)
                        .setNodeId("entry")
                        .setIncarnation(1)));
    }

    /** Sends a booking as an attempt with the given id and returns its answer. */
    Answer attempt(String attemptId) throws IOException {
        return call(Frame.newBuilder()
                .setAttempt(Attempt.newBuilder()
                        .setAttemptId(attemptId)
                        .setRequestId("request of " + attemptId)
                        .setService("service")
                        .setLeftMillis(2_000)
                        .setMethod("POST")
                        .setTarget(EngineFleet.BOOKING_PATH + "x")
                        .setRoute("booking")));
    }

    /** Sends a request of the previous build, which passes on all headers of the caller. */
    Answer attemptOfPreviousBuild(String attemptId, Header header) throws IOException {
        return call(Frame.newBuilder()
                .setAttempt(Attempt.newBuilder()
                        .setAttemptId(attemptId)
                        .setRequestId("request of " + attemptId)
                        .setService("service")
                        .setLeftMillis(2_000)
                        .setMethod("GET")
                        .setTarget(EngineFleet.LOOKUP_PATH + "x")
                        .addHeaders(header)));
    }

    /** Asks how an attempt ended. */
    Answer inquire(String attemptId) throws IOException {
        return call(Frame.newBuilder()
                .setInquiry(Inquiry.newBuilder()
                        .setAttemptId(attemptId)
                        .setLeftMillis(1)
                        .setHomeIncarnation(homeIncarnation)));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private Answer call(Frame.Builder message) throws IOException {
        long correlation = ++lastCorrelation;
        write(message.setCorrelation(correlation));
        while (true) {
            Frame frame = read();
            if (frame.hasAnswer() && frame.getCorrelation() == correlation) {
                return frame.getAnswer();
            }
        }
    }

    private Frame read() throws IOException {
        byte[] bytes = input.readNBytes(input.readInt());
        try {
            return Frame.parseFrom(bytes);
        } catch (InvalidProtocolBufferException malformed) {
            throw new AssertionError("the engine sent a malformed frame of " + bytes.length + " bytes", malformed);
        }
    }

    private void write(Frame.Builder frame) throws IOException {
        byte[] bytes = frame.build().toByteArray();
        output.writeInt(bytes.length);
        output.write(bytes);
        output.flush();
    }
}
