import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Freezes the machine at which the requests began for some seconds while their homes run them. */
final class FrozenEntry {
    private static final String HOST = "jepu9.example";

    // As `reserve` of okm-enrol-grown.toml: deadline 15,040 ms, route timeout 8,000 ms.
    private static final int DEADLINE_MILLIS = 15_040;
    private static final int ROUTE_TIMEOUT_MILLIS = 8_000;
    private static final int WORK_MILLIS = 300;
    private static final int SLOTS = 6;
    private static final int HOMES = 3;
    private static final int REQUESTS = 12;

    // The entry and its homes race after a freeze, so it is frozen again if no request ran twice.
    private static final int ROUNDS = 3;
    private static final int WARM_UP_GAP_MILLIS = 125;
    private static final int FREEZE_AFTER_MILLIS = 250;

    // The site files hold single machines up to this long (`node_slow`: 6.42 s).
    private static final int FREEZE_MILLIS = 6_400;

    private FrozenEntry() {}

    public static void main(String[] arguments) {
        Harness harness = null;
        try {
            harness = new Harness(arguments[0]);
            run(harness);
        } catch (Throwable failure) {
            Harness.fail(harness, failure);
        }
    }

    private static void run(Harness harness) throws Exception {
        harness.store.put("op", "config", configuration());
        Harness.Node entry = harness.node("sidecar-kz-a-1", "kz-a", "front");
        List<Harness.Node> homes = new ArrayList<>();
        for (int number = 2; number < HOMES + 2; number++) {
            homes.add(harness.node("sidecar-kz-a-" + number, "kz-a", "booking"));
        }
        entry.start();
        homes.forEach(Harness.Node::start);
        harness.upstream(entry, "i-front", SLOTS, Harness.working(WORK_MILLIS));
        for (Harness.Node home : homes) {
            harness.upstream(home, "i-" + home.name, SLOTS, Harness.working(WORK_MILLIS));
        }
        harness.awaitReady(30_000);
        Thread.sleep(4_000);
        for (int round = 0; round < ROUNDS && repeated(harness).isEmpty(); round++) {
            play(harness, entry);
        }

        Map<String, List<Harness.Run>> runs = harness.runsByRequest();
        List<String> twice = repeated(harness);
        twice.forEach(request -> harness.note("TWICE: " + request));
        long refused = harness.replies.stream()
                .filter(reply -> List.of(408, 421, 429, 503).contains(reply.status()))
                .filter(reply -> runs.containsKey(reply.requestId()))
                .count();
        long unserved = harness.replies.stream().filter(reply -> reply.status() != 200).count();
        boolean broken = !twice.isEmpty() || refused > 0 || !harness.trouble && unserved > 0;
        Harness.finish(harness, broken, twice.size() + " of " + runs.size() + " non-idempotent requests ran twice, "
                + refused + " were refused and had run, " + unserved + " weren't served");
    }

    private static void play(Harness harness, Harness.Node entry) throws Exception {
        List<CompletableFuture<Void>> warmUp = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            warmUp.add(send(harness, entry, 1));
            Thread.sleep(WARM_UP_GAP_MILLIS);
        }
        warmUp.forEach(CompletableFuture::join);

        long start = harness.now();
        CompletableFuture<Void> sent = send(harness, entry, REQUESTS);
        if (harness.trouble) {
            harness.sleepUntil(start + FREEZE_AFTER_MILLIS);
            entry.signal("STOP");
            harness.sleepUntil(start + FREEZE_AFTER_MILLIS + FREEZE_MILLIS);
            entry.signal("CONT");
        }
        sent.join();
        Thread.sleep(2_000);
    }

    private static List<String> repeated(Harness harness) {
        return harness.runsByRequest().entrySet().stream()
                .filter(request -> request.getValue().size() > 1)
                .map(request -> request.getKey() + " at "
                        + request.getValue().stream()
                                .map(each -> each.upstreamId() + " after " + each.atMillis() + " ms")
                                .collect(Collectors.joining(" and ")))
                .toList();
    }

    private static CompletableFuture<Void> send(Harness harness, Harness.Node entry, int count) {
        return CompletableFuture.allOf(IntStream.range(0, count)
                .mapToObj(index -> CompletableFuture.runAsync(
                        () -> harness.request(
                                entry, "POST", HOST, "/puka111/" + index, new byte[] {'s'}, DEADLINE_MILLIS),
                        harness.threads))
                .toArray(CompletableFuture[]::new));
    }

    private static String configuration() {
        return "{\"version\":\"r7\",\"routes\":[{\"name\":\"reserve\",\"host\":\"" + HOST
                + "\",\"prefix\":\"/puka111/\",\"kind\":\"non_idempotent\",\"timeout_ms\":" + ROUTE_TIMEOUT_MILLIS
                + ",\"target_latency_ms\":3153,\"priority\":1,\"service\":\"booking\",\"attempts\":2}],"
                + "\"services\":[{\"name\":\"booking\",\"health_check\":\"/health\",\"connection_limit\":390},"
                + "{\"name\":\"front\",\"health_check\":\"/health\",\"connection_limit\":390}],"
                + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
