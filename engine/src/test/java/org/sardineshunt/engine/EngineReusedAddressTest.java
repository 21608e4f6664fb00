package org.sardineshunt.engine;

import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.engine.protocol.EngineMessages.NodeRecord;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EngineReusedAddressTest {
    private static final String TABLE = "sardineshunt-nodes";
    private static final String GONE_NODE_ID = "gone";

    private final EngineFleet fleet = new EngineFleet(2);

    @AfterEach
    void close() {
        fleet.close();
    }

    /**
     * Guards against sending attempts for an instance that is gone to the one that was given its address: that one
     * serves another service, refuses each attempt and looks idle, so it was chosen first each time.
     */
    @Test
    void sendsNothingToTheEarlierNodeOfAReusedAddress() throws InvalidProtocolBufferException {
        addRowOfGoneNode(row -> row.setIncarnation(row.getIncarnation() - 1));

        sendLookups(12);

        assertThat(attemptsSentToGoneNode(), is(0L));
    }

    /** The row of the node that has the address now can be missing, for example while the table is down. */
    @Test
    void sendsNothingToANodeWhoseAddressAnswersWithAnotherNodeId() throws InvalidProtocolBufferException {
        // With another spelling of the address the rows alone do not show that it is reused.
        addRowOfGoneNode(row -> row.setHost("::ffff:127.0.0.1"));
        Await.until("the other node id was noticed", () -> {
            sendLookups(1);
            return fleet.logLines().stream().anyMatch(line -> line.contains("answers as node 'node-1'"));
        });
        long attemptsBefore = attemptsSentToGoneNode();

        sendLookups(12);

        assertThat(attemptsSentToGoneNode(), is(attemptsBefore));
    }

    private void addRowOfGoneNode(UnaryOperator<NodeRecord.Builder> change) throws InvalidProtocolBufferException {
        NodeRecord present = NodeRecord.parseFrom(fleet.table().value(TABLE, "node-1"));
        NodeRecord.Builder gone = present.toBuilder().setNodeId(GONE_NODE_ID);
        fleet.table().put(TABLE, GONE_NODE_ID, change.apply(gone).build().toByteArray());
        Await.until(
                "entry 0 has read the row",
                () -> countLogLines("node-known", "\"node\":\"node-0\"", "\"peer\":\"gone\"") > 0);
    }

    private void sendLookups(int count) {
        IntStream.range(0, count)
                .forEach(request -> assertThat(fleet.sendAndGetStatus(0, "GET", EngineFleet.LOOKUP_PATH), is(200)));
    }

    private long attemptsSentToGoneNode() {
        return countLogLines("attempt-sent", "\"node\":\"node-0\"", "\"home\":\"gone\"");
    }

    private long countLogLines(String... parts) {
        return fleet.logLines().stream()
                .filter(line -> java.util.Arrays.stream(parts).allMatch(line::contains))
                .count();
    }
}
