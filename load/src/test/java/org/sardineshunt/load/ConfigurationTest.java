package org.sardineshunt.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.standin.PlatformFaults;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Changes the configuration of a fleet and checks that every node adopts it, with and without the platform. */
class ConfigurationTest {
    private static final PlatformFaults OUTAGE = new PlatformFaults(true, 0, 0);
    private static final long MAXIMUM_PROPAGATION_MILLIS = 5_000;
    // Without the platform, a change reaches the other nodes over peer links only.
    private static final long MAXIMUM_PROPAGATION_DURING_OUTAGE_MILLIS = 15_000;

    private LocalFleet fleet;
    private OperatorClient operatorClient;

    @BeforeEach
    void startFleet() {
        fleet = SmallFleet.start(3);
        operatorClient = new OperatorClient(fleet);
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    @Test
    void acceptedChangeIsInForceOnAllNodesWithinTheLimit() {
        operatorClient.addOverride("dc-1-n1", "night", "drain", "number=1");

        long millis = operatorClient.await("revision 1 everywhere", () -> allNodesHaveRevision(1));

        assertThat(millis, lessThan(MAXIMUM_PROPAGATION_MILLIS));
        operatorClient.await("drained everywhere", () -> fleet.nodeIds().stream()
                .noneMatch(nodeId -> operatorClient.upstreamsInRotation(nodeId).contains("seat-booking-1")));
    }

    @Test
    void acceptedChangeReachesAllNodesAlthoughThePlatformFailsAfterIt() {
        operatorClient.addOverride("dc-1-n1", "night", "drain", "number=1");
        fleet.platform().setFaults(OUTAGE);

        long millis = operatorClient.await("revision 1 everywhere", () -> allNodesHaveRevision(1));

        assertThat(millis, lessThan(MAXIMUM_PROPAGATION_DURING_OUTAGE_MILLIS));
    }

    @Test
    void oneOfTwoConcurrentChangesIsAcceptedAndTheOtherIsToldOfIt() {
        List<CompletableFuture<JsonNode>> changes = List.of(
                CompletableFuture.supplyAsync(() -> addOverrideAgainst("dc-1-n1", "first", 0)),
                CompletableFuture.supplyAsync(() -> addOverrideAgainst("dc-2-n1", "second", 0)));
        List<JsonNode> results = changes.stream().map(CompletableFuture::join).toList();

        JsonNode rejected = results.stream()
                .filter(result -> !result.path("accepted").asBoolean())
                .findFirst()
                .orElseThrow();

        assertThat(
                results.stream()
                        .filter(result -> result.path("accepted").asBoolean())
                        .count(),
                is(1L));
        assertThat(rejected.path("others").path(0).path("description").asText(), containsString("by tester"));
    }

    @Test
    void changeWhoseAnswerWasLostIsFoundAndReportedAsAccepted() {
        fleet.platform().setFaults(new PlatformFaults(false, 0, 1));

        JsonNode result = operatorClient.addOverride("dc-1-n1", "night", "drain", "number=1");

        assertThat(result.path("accepted").asBoolean(), is(true));
        operatorClient.await("revision 1 everywhere", () -> allNodesHaveRevision(1));
    }

    @Test
    void changeDuringAnOutageIsRefusedAndIntentsInForceStay() {
        operatorClient.addOverride("dc-1-n1", "night", "drain", "number=1");
        operatorClient.await("revision 1 everywhere", () -> allNodesHaveRevision(1));
        fleet.platform().setFaults(OUTAGE);

        JsonNode result = operatorClient.addOverride("dc-2-n1", "other", "drain", "number=2");

        assertThat(result.path("accepted").asBoolean(), is(false));
        assertThat(result.path("verdict").asText(), is("not-run"));
        assertThat(intentIds("dc-2-n1"), contains("night"));
    }

    @Test
    void nodeThatStartsDuringAnOutageTakesTheConfigurationFromItsPeers() {
        operatorClient.addOverride("dc-1-n1", "night", "drain", "number=1");
        operatorClient.await("revision 1 everywhere", () -> allNodesHaveRevision(1));
        fleet.platform().setFaults(OUTAGE);

        fleet.killNode("dc-3-n1");
        fleet.startNode("dc-3-n1", "dc-3");

        assertThat(operatorClient.revision("dc-3-n1"), is(1L));
        assertThat(intentIds("dc-3-n1"), contains("night"));
    }

    @Test
    void revisionNeverDecreasesOnAnyNodeDuringAPartition() {
        Map<String, Long> highestByNode = new java.util.TreeMap<>();
        fleet.partition("dc-1-n1", "dc-2-n1");
        for (int change = 1; change <= 4; change++) {
            operatorClient.addOverride("dc-1-n1", "change-" + change, "drain", "number=" + change);
            fleet.nodeIds().forEach(nodeId -> {
                long revision = operatorClient.revision(nodeId);
                assertThat(nodeId, revision, greaterThanOrEqualTo(highestByNode.getOrDefault(nodeId, 0L)));
                highestByNode.put(nodeId, revision);
            });
        }
        long millis = operatorClient.await("revision 4 everywhere", () -> allNodesHaveRevision(4));

        assertThat(millis, lessThan(MAXIMUM_PROPAGATION_MILLIS));
    }

    @Test
    void overrideWithoutReasonIsRefused() {
        JsonNode result = operatorClient.post(
                "dc-1-n1",
                "/operator/overrides",
                Map.of("id", "quiet", "action", "drain", "selector", "number=1", "author", "someone", "reason", ""));

        assertThat(result.path("detail").asText(), is("intent 'quiet' has no reason"));
        assertThat(operatorClient.revision("dc-1-n1"), is(0L));
    }

    private JsonNode addOverrideAgainst(String nodeId, String id, long revision) {
        return operatorClient.post(
                nodeId,
                "/operator/overrides",
                Map.of(
                        "id", id,
                        "action", "drain",
                        "selector", "number=1",
                        "author", "tester",
                        "reason", "race",
                        "against", revision));
    }

    private List<String> intentIds(String nodeId) {
        return java.util.stream.StreamSupport.stream(
                        operatorClient
                                .get(nodeId, "/operator/overrides")
                                .path("intents")
                                .spliterator(),
                        false)
                .map(intent -> intent.path("id").asText())
                .toList();
    }

    private boolean allNodesHaveRevision(long revision) {
        return fleet.nodeIds().stream().allMatch(nodeId -> operatorClient.revision(nodeId) == revision);
    }
}
