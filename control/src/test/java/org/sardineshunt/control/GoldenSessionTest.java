package org.sardineshunt.control;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineshunt.kit.ExitCode;
import org.sardineshunt.kit.TimeSpan;
import org.sardineshunt.load.Deployment;
import org.sardineshunt.load.LocalFleet;
import org.sardineshunt.load.OperatorClient;
import org.sardineshunt.node.NodeSettings;
import org.sardineshunt.node.NodeSettings.RankSettings;
import org.sardineshunt.node.NodeSettings.RouteSettings;
import org.sardineshunt.standin.PlatformFaults;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Compares whole sessions of callers and operators with files under {@code src/test/resources/golden}. With the system
 * property {@code golden.update} set, the files are overwritten with the actual sessions.
 */
class GoldenSessionTest {
    private static final Path GOLDEN_DIRECTORY = Path.of("src", "test", "resources", "golden");

    private final StringBuilder session = new StringBuilder();
    private final OkHttpClient client = new OkHttpClient();
    private LocalFleet fleet;
    private OperatorClient operatorClient;

    @BeforeEach
    void startFleet() {
        Deployment deployment = new Deployment(
                "almaty",
                List.of("almaty-1", "almaty-2"),
                1,
                new TimeSpan(0),
                "unused",
                List.of(new Deployment.ServiceSize("seat-booking", 4, 4, new TimeSpan(10))),
                List.of(),
                "seat-booking",
                List.of());
        fleet = LocalFleet.start(deployment, settingsTemplate(), settings -> settings);
        operatorClient = new OperatorClient(fleet);
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    @Test
    void reportsVerdictAndReasonToCallers() throws IOException {
        sendAsCaller("GET", "/seats/aru", Map.of("X-Work-Id", "lookup"));
        sendAsCaller("POST", "/seats", Map.of("X-Work-Id", "no-key"));
        sendAsCaller("POST", "/seats", Map.of("X-Work-Id", "b1", "Idempotency-Key", "b1"));
        sendAsCaller("POST", "/seats", Map.of("X-Work-Id", "b1", "Idempotency-Key", "b1"));
        sendAsCaller("POST", "/seats/other", Map.of("X-Work-Id", "b1", "Idempotency-Key", "b1"));
        sendAsCaller("GET", "/nowhere", Map.of());
        sendAsCaller("GET", "/seats/aru", Map.of("Sardineshunt-Deadline-Left-Millis", "-5"));
        sendAsCaller("POST", "/seats", Map.of("X-Work-Id", "b2", "Idempotency-Key", "ticket.gone.1.1"));
        fleet.platform().setFaults(new PlatformFaults(true, 0, 0));
        sendAsCaller(
                "POST",
                "/seats",
                Map.of("X-Work-Id", "b3", "Idempotency-Key", "b3", "Sardineshunt-First-Send", "true"));
        sendAsCaller("POST", "/seats", Map.of("X-Work-Id", "b4", "Idempotency-Key", "b4"));

        compareWithGoldenFile("caller");
    }

    @Test
    void showsAnOverrideOfTheLastHoursOnAnotherNode() throws IOException {
        runControl("overrides", "list");
        addOverride("night", "drain", "number=1", "aigul", "disk errors");
        awaitRevision(1);
        runControlAt("almaty-2-n1", "digest", "--since", "12h");
        runControlAt("almaty-2-n1", "explain", "seat-booking");
        runControl("overrides", "remove", "night", "--author", "daniyar", "--reason", "disk replaced");
        awaitRevision(2);
        runControlAt("almaty-2-n1", "digest", "--since", "12h");

        compareWithGoldenFile("quiet-night-override");
    }

    @Test
    void refusesAChangeMadeAgainstAnOutdatedRevision() throws IOException {
        runControl(
                "overrides",
                "add",
                "--id",
                "first",
                "--action",
                "drain",
                "--selector",
                "number=1",
                "--author",
                "aigul",
                "--reason",
                "slow disk",
                "--against",
                "0");
        awaitRevision(1);
        runControlAt(
                "almaty-2-n1",
                "overrides",
                "add",
                "--id",
                "second",
                "--action",
                "keep-in",
                "--selector",
                "number=1|2",
                "--author",
                "daniyar",
                "--reason",
                "exam week",
                "--against",
                "0");
        runControlAt(
                "almaty-2-n1",
                "overrides",
                "add",
                "--id",
                "second",
                "--action",
                "keep-in",
                "--selector",
                "number=1|2",
                "--author",
                "daniyar",
                "--reason",
                "exam week",
                "--against",
                "1");
        awaitRevision(2);
        runControl("overrides", "list");

        compareWithGoldenFile("racing-operators");
    }

    @Test
    void listsOverridesThatAreHeldExpiredOrMatchNothing() throws IOException {
        addOverride("everything", "drain", "service=seat-booking", "aigul", "moving house");
        addOverride("nothing", "drain", "rack=r99", "aigul", "typing error");
        runControl(
                "overrides",
                "add",
                "--id",
                "short",
                "--action",
                "drain",
                "--selector",
                "number=2",
                "--author",
                "aigul",
                "--reason",
                "a quick look",
                "--lasts",
                "1ms");
        awaitRevision(3);
        operatorClient.await(
                "drains published",
                () -> operatorClient.upstreamsInRotation("almaty-1-n1").size() == 2);
        runControl("overrides", "list");
        runControl("services");
        runControl("explain", "seat-booking");

        compareWithGoldenFile("held-expired-unmatched");
    }

    @Test
    void reportsALeavingUpstreamAndAStoppedNode() throws IOException {
        runControl("explain", "seat-booking");
        announce("{\"id\": \"seat-booking-9\", \"service\": \"seat-booking\"}");
        fleet.server("seat-booking-1").startLeaving();
        operatorClient.await(
                "leaving upstream out",
                () -> !operatorClient.upstreamsInRotation("almaty-2-n1").contains("seat-booking-1"));
        runControlAt("almaty-2-n1", "explain", "seat-booking");
        record("# node almaty-2-n1 is stopped; nothing cut off: " + fleet.stopNode("almaty-2-n1") + "\n");
        runControl("status");
        runControl("services");
        sendAsCaller("GET", "/seats/after", Map.of("X-Work-Id", "after"));

        compareWithGoldenFile("announcement-drain-shutdown");
    }

    @Test
    void explainsMalformedChangesAndAPlatformOutage() throws IOException {
        addOverride("bad", "drian", "number=1", "aigul", "typo");
        addOverride("bad", "drain", "number", "aigul", "typo");
        addOverride("bad", "urgent", "service=seat-booking", "aigul", "no rank");
        runControl("overrides", "remove", "absent", "--author", "aigul", "--reason", "cleaning");
        fleet.platform().setFaults(new PlatformFaults(true, 0, 0));
        addOverride("later", "drain", "number=1", "aigul", "platform is down");

        compareWithGoldenFile("wrong-input");
    }

    private void addOverride(String id, String action, String selector, String author, String reason) {
        runControl(
                "overrides",
                "add",
                "--id",
                id,
                "--action",
                action,
                "--selector",
                selector,
                "--author",
                author,
                "--reason",
                reason);
    }

    private void awaitRevision(long revision) {
        operatorClient.await("revision " + revision, () -> fleet.nodeIds().stream()
                .allMatch(nodeId -> operatorClient.revision(nodeId) == revision));
        OperatorClient.sleep(1_300);
    }

    private void runControl(String... arguments) {
        runControlAt("almaty-1-n1", arguments);
    }

    private void runControlAt(String nodeId, String... arguments) {
        String[] argumentsWithNode = java.util.stream.Stream.concat(
                        java.util.Arrays.stream(arguments),
                        java.util.stream.Stream.of("--node", fleet.operatorUrl(nodeId)))
                .toArray(String[]::new);
        record("$ sardineshunt-control " + String.join(" ", arguments) + " (" + nodeId + ")");
        ExitCode[] code = new ExitCode[1];
        record(captureOutput(ignored -> code[0] = ControlMain.run(argumentsWithNode))
                .stripTrailing());
        record("exit code " + code[0].code() + "\n");
    }

    private void sendAsCaller(String method, String path, Map<String, String> headers) throws IOException {
        record("> " + method + ' ' + path + ' ' + new java.util.TreeMap<>(headers));
        Request.Builder request = new Request.Builder()
                .url(fleet.callerUrls().get(0) + path)
                .method(method, method.equals("GET") ? null : RequestBody.create("{}".getBytes()));
        headers.forEach(request::header);
        try (Response response = client.newCall(request.build()).execute()) {
            record("< " + response.code() + " verdict " + response.header("Sardineshunt-Verdict") + ", reason "
                    + response.header("Sardineshunt-Reason") + ", ticket "
                    + (response.header("Sardineshunt-Ticket") == null ? "none" : "given"));
            record("< " + response.body().string().strip() + "\n");
        }
    }

    private void announce(String body) throws IOException {
        record("> POST /announcements " + body);
        Request request = new Request.Builder()
                .url(fleet.operatorUrl("almaty-1-n1") + "/announcements")
                .post(RequestBody.create(body.getBytes(StandardCharsets.UTF_8)))
                .build();
        try (Response response = client.newCall(request).execute()) {
            record("< " + response.code() + ' ' + response.body().string().strip() + "\n");
        }
    }

    private void record(String line) {
        session.append(line).append('\n');
    }

    private void compareWithGoldenFile(String name) throws IOException {
        Path file = GOLDEN_DIRECTORY.resolve(name + ".txt");
        String actual = maskVariableText(session.toString());
        if (System.getProperty("golden.update") != null) {
            Files.writeString(file, actual);
        }
        assertThat(actual, is(Files.readString(file)));
    }

    // Replaces text that differs between runs. The length of an age changes the width of its column, so runs of spaces
    // are shortened too.
    private static String maskVariableText(String text) {
        return text.replaceAll("\\b\\d+[smh](?= {2})", "AGE")
                .replaceAll("\\d{4}-\\d\\d-\\d\\dT[0-9:.]+Z", "TIME")
                .replaceAll("seat-booking-\\d\",\"request", "UPSTREAM\",\"request")
                .replaceAll("ticket\\.[a-z0-9.-]+\\.[a-z0-9]+\\.[a-z0-9]+", "TICKET")
                .replaceAll(" {2,}", "  ");
    }

    private static String captureOutput(Consumer<PrintStream> action) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream captured = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        System.setOut(captured);
        System.setErr(captured);
        try {
            action.accept(captured);
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
        return bytes.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> !line.startsWith("{\"timestamp\""))
                .collect(java.util.stream.Collectors.joining("\n"));
    }

    private static NodeSettings settingsTemplate() {
        return new NodeSettings(
                "template",
                "dc",
                "region",
                null,
                null,
                "http://127.0.0.1:1",
                List.of(new RankSettings("booking", 0.2), new RankSettings("status", 0.1)),
                List.of(
                        new RouteSettings(
                                "POST", "/seats", "seat-booking", "booking", false, true, new TimeSpan(3_000)),
                        new RouteSettings("GET", "/seats", "seat-booking", "status", true, false, new TimeSpan(1_000))),
                0.5,
                null,
                new NodeSettings.TimingSettings(
                        new TimeSpan(300),
                        new TimeSpan(100),
                        null,
                        null,
                        new TimeSpan(0),
                        new TimeSpan(300),
                        null,
                        null),
                null);
    }
}
