package org.sardineshunt.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class NodeSettingsTest {
    @TempDir
    private Path directory;

    @Test
    void exampleSettingsAreValid() throws IOException {
        for (String deployment : List.of("ortak-kod-mektebi", "kompostfenster")) {
            try (Stream<Path> files = Files.list(Path.of("..", "settings", deployment))) {
                files.forEach(file ->
                        assertThat(file.toString(), NodeSettings.read(file).isRight(), is(true)));
            }
        }
    }

    @Test
    void unknownKeyIsReportedWithItsPositionAndTheAllowedKeys() throws IOException {
        String text =
                """
                {"nodeId": "a", "dataCentre": "d", "region": "r", "platform": "http://127.0.0.1:1",
                 "nodeID": "b",
                 "ranks": [{"name": "x", "guaranteedShare": 0.1}]}
                """;
        assertThat(
                readError(text),
                allOf(containsString("line 2, column"), containsString("unknown key 'nodeID'; allowed: accounts")));
    }

    @Test
    void durationWithoutUnitIsRefused() throws IOException {
        assertThat(
                readErrorOfKeys("\"timing\": {\"linkSilence\": \"1500\"}"),
                containsString("timing.linkSilence: duration '1500' is not a whole number with one of the units"));
    }

    @Test
    void numberInsteadOfDurationTextIsRefused() throws IOException {
        assertThat(readErrorOfKeys("\"timing\": {\"linkSilence\": 1500}"), containsString("timing.linkSilence"));
    }

    @Test
    void probeTimeoutOfHalfTheProbePeriodOrMoreIsRefused() throws IOException {
        assertThat(
                readErrorOfKeys("\"timing\": {\"probePeriod\": \"300ms\", \"probeTimeout\": \"200ms\"}"),
                containsString("probeTimeout: '200ms' is not allowed; allowed: less than half of probePeriod 300ms"));
    }

    @Test
    void routeWithUnknownRankIsRefused() throws IOException {
        String text =
                """
                {"nodeId": "a", "dataCentre": "d", "region": "r", "platform": "http://127.0.0.1:1",
                 "ranks": [{"name": "x", "guaranteedShare": 0.1}],
                 "routes": [{"path": "/p", "service": "s", "rank": "y", "idempotent": true, "keyRequired": false}]}
                """;
        assertThat(readError(text), containsString("routes: 'y' is not allowed; allowed: a rank of [x]"));
    }

    private String readErrorOfKeys(String keys) throws IOException {
        return readError("{\n  " + keys + "\n}\n");
    }

    private String readError(String text) throws IOException {
        Path file = directory.resolve("node.json");
        Files.writeString(file, text);
        return NodeSettings.read(file).getLeft();
    }
}
