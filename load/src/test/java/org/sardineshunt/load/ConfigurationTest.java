package org.sardineshunt.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.standin.TableFaults;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ConfigurationTest {
    private static final TableFaults OUTAGE = new TableFaults(true, 0, 0);
    private static final long SPREAD_WITH_PLATFORM_MILLIS = 5_000;
    private static final long SPREAD_WITHOUT_PLATFORM_MILLIS = 15_000;

    private LocalFleet fleet;
    private OperatorClient probe;

    @BeforeEach
    void startFleet() {
        fleet = SmallFleet.start(3);
        probe = new OperatorClient(fleet);
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    @Test
    void acceptedChangeIsInForceEverywhereWithinSeconds() {
        probe.addOverride("dc-1-n1", "night", "drain", "number=1");

        long millis = probe.await("revision 1 everywhere", () -> allHold(1));

        assertThat(millis, lessThan(SPREAD_WITH_PLATFORM_MILLIS));
        probe.await("drained everywhere", () -> fleet.nodeIds().stream()
                .noneMatch(nodeId -> probe.upstreamsInRotation(nodeId).contains("seat-booking-1")));
    }

    @Test
    void acceptedChangeSpreadsAlthoughThePlatformIsDownRightAfterIt() {
        probe.addOverride("dc-1-n1", "night", "drain", "number=1");
        fleet.platform().faults(OUTAGE);

        long millis = probe.await("revision 1 everywhere", () -> allHold(1));

        assertThat(millis, lessThan(SPREAD_WITHOUT_PLATFORM_MILLIS));
    }

    @Test
    void ofTwoRacingOperatorsOneWinsAndTheOtherSeesTheWinningChange() {
        List<CompletableFuture<JsonNode>> race = List.of(
                CompletableFuture.supplyAsync(() -> against("dc-1-n1", "first", 0)),
                CompletableFuture.supplyAsync(() -> against("dc-2-n1", "second", 0)));
        List<JsonNode> results = race.stream().map(CompletableFuture::join).toList();

        JsonNode loser = results.stream()
                .filter(result -> !result.path("accepted").asBoolean())
                .findFirst()
                .orElseThrow();

        assertThat(
                results.stream()
                        .filter(result -> result.path("accepted").asBoolean())
                        .count(),
                is(1L));
        assertThat(loser.path("others").path(0).path("description").asText(), containsString("by tester"));
    }

    @Test
    void changeWhoseAnswerWasLostIsFoundAndReportedAsAccepted() {
        fleet.platform().faults(new TableFaults(false, 0, 1));

        JsonNode result = probe.addOverride("dc-1-n1", "night", "drain", "number=1");

        assertThat(result.path("accepted").asBoolean(), is(true));
        probe.await("revision 1 everywhere", () -> allHold(1));
    }

    @Test
    void changeDuringAnOutageIsRefusedAndWhatIsInForceStays() {
        probe.addOverride("dc-1-n1", "night", "drain", "number=1");
        probe.await("revision 1 everywhere", () -> allHold(1));
        fleet.platform().faults(OUTAGE);

        JsonNode result = probe.addOverride("dc-2-n1", "other", "drain", "number=2");

        assertThat(result.path("accepted").asBoolean(), is(false));
        assertThat(result.path("verdict").asText(), is("not-run"));
        assertThat(intentIds("dc-2-n1"), contains("night"));
    }

    @Test
    void nodeThatStartsDuringAnOutageTakesTheConfigurationFromItsPeers() {
        probe.addOverride("dc-1-n1", "night", "drain", "number=1");
        probe.await("revision 1 everywhere", () -> allHold(1));
        fleet.platform().faults(OUTAGE);

        fleet.killNode("dc-3-n1");
        fleet.startNode("dc-3-n1", "dc-3");

        assertThat(probe.revision("dc-3-n1"), is(1L));
        assertThat(intentIds("dc-3-n1"), contains("night"));
    }

    @Test
    void revisionNeverFallsOnAnyNodeThroughRestartsAndCuts() {
        Map<String, Long> highest = new java.util.TreeMap<>();
        fleet.cut("dc-1-n1", "dc-2-n1");
        for (int change = 1; change <= 4; change++) {
            probe.addOverride("dc-1-n1", "change-" + change, "drain", "number=" + change);
            fleet.nodeIds().forEach(nodeId -> {
                long revision = probe.revision(nodeId);
                assertThat(nodeId, revision, greaterThanOrEqualTo(highest.getOrDefault(nodeId, 0L)));
                highest.put(nodeId, revision);
            });
        }
        long millis = probe.await("revision 4 everywhere", () -> allHold(4));

        assertThat(millis, lessThan(SPREAD_WITH_PLATFORM_MILLIS));
    }

    @Test
    void overrideWithoutReasonIsRefused() {
        JsonNode result = probe.post(
                "dc-1-n1",
                "/operator/overrides",
                Map.of("id", "quiet", "action", "drain", "selector", "number=1", "author", "someone", "reason", ""));

        assertThat(result.path("detail").asText(), is("intent 'quiet' has no reason"));
        assertThat(probe.revision("dc-1-n1"), is(0L));
    }

    private JsonNode against(String nodeId, String id, long revision) {
        return probe.post(
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
                        probe.get(nodeId, "/operator/overrides").path("intents").spliterator(), false)
                .map(intent -> intent.path("id").asText())
                .toList();
    }

    private boolean allHold(long revision) {
        return fleet.nodeIds().stream().allMatch(nodeId -> probe.revision(nodeId) == revision);
    }
}
