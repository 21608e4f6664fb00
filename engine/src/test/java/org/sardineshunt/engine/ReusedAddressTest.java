package org.sardineshunt.engine;

import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.engine.protocol.EngineMessages.NodeRecord;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ReusedAddressTest {
    private static final String TABLE = "sardineshunt-nodes";
    private static final String GONE = "gone";

    private final EngineFleet fleet = new EngineFleet(2);

    @AfterEach
    void close() {
        fleet.close();
    }

    /** Found on the bench: work for a machine that was gone reached the one that had its address, again and again. */
    @Test
    void sendsNoWorkToTheFormerNodeOfAnAddress() throws InvalidProtocolBufferException {
        addGoneNode(row -> row.setIncarnation(row.getIncarnation() - 1));

        lookUp(12);

        assertThat(sentToGoneNode(), is(0L));
    }

    /** The row of the node that has the address now can be missing, for instance while the table is down. */
    @Test
    void leavesOutANodeWhoseAddressAnswersWithAnotherName() throws InvalidProtocolBufferException {
        // Another spelling of the address, so that the rows alone don't tell.
        addGoneNode(row -> row.setHost("localhost"));
        Await.until("the other name was noticed", () -> {
            lookUp(1);
            return fleet.lines().stream().anyMatch(line -> line.contains("answers as node 'node-1'"));
        });
        long before = sentToGoneNode();

        lookUp(12);

        assertThat(sentToGoneNode(), is(before));
    }

    private void addGoneNode(UnaryOperator<NodeRecord.Builder> change) throws InvalidProtocolBufferException {
        NodeRecord present = NodeRecord.parseFrom(fleet.table().value(TABLE, "node-1"));
        NodeRecord.Builder gone = present.toBuilder().setNodeId(GONE);
        fleet.table().put(TABLE, GONE, change.apply(gone).build().toByteArray());
        Await.until(
                "entry 0 has taken the row",
                () -> linesWith("node-known", "\"node\":\"node-0\"", "\"peer\":\"gone\"") > 0);
    }

    private void lookUp(int times) {
        IntStream.range(0, times).forEach(request -> assertThat(fleet.status(0, "GET", EngineFleet.LOOKUP), is(200)));
    }

    private long sentToGoneNode() {
        return linesWith("attempt-sent", "\"node\":\"node-0\"", "\"home\":\"gone\"");
    }

    private long linesWith(String... parts) {
        return fleet.lines().stream()
                .filter(line -> java.util.Arrays.stream(parts).allMatch(line::contains))
                .count();
    }
}
