import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Lets an upstream spoil a few of its answers: their status line lacks the last digit. */
final class GarbledStatus {
    private static final String HOST = "jepu9.example";
    private static final int DEADLINE_MILLIS = 10_000;
    private static final int WORK_MILLIS = 50;
    private static final int SLOTS = 4;
    private static final int REQUESTS = 300;
    private static final int REQUEST_GAP_MILLIS = 25;
    private static final int FROM_HOME_EACH = 4;

    // The site file's `garble` spoils x = 0.03 of the answers for 5.0 s.
    private static final int SPOILED_EACH = 34;
    private static final int GARBLE_AFTER_MILLIS = 1_000;
    private static final int GARBLE_MILLIS = 5_000;

    private GarbledStatus() {}

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
        Harness.Node home = harness.node("sidecar-kz-a-1", "kz-a", "booking");
        Harness.Node other = harness.node("sidecar-kz-a-2", "kz-a", "front");
        home.start();
        other.start();
        Set<String> spoiled = ConcurrentHashMap.newKeySet();
        AtomicInteger answers = new AtomicInteger();
        AtomicBoolean garbles = new AtomicBoolean();
        Harness.Behaviour garbling = (request, out, connection) -> {
            boolean spoil = garbles.get() && answers.incrementAndGet() % SPOILED_EACH == 0;
            answer(harness, request, out, spoil, spoiled);
        };
        harness.upstream(home, "i-booking", SLOTS, garbling);
        harness.upstream(other, "i-front", SLOTS, Harness.working(WORK_MILLIS));
        harness.awaitReady(30_000);
        Thread.sleep(4_000);

        long start = harness.now();
        List<CompletableFuture<Void>> requests = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            long elapsed = harness.now() - start;
            garbles.set(harness.trouble
                    && elapsed >= GARBLE_AFTER_MILLIS
                    && elapsed < GARBLE_AFTER_MILLIS + GARBLE_MILLIS);
            Harness.Node node = number % FROM_HOME_EACH == 0 ? other : home;
            String path = "/puka111/" + number;
            requests.add(CompletableFuture.runAsync(
                    () -> harness.request(node, "POST", HOST, path, new byte[] {'s'}, DEADLINE_MILLIS),
                    harness.threads));
            Thread.sleep(REQUEST_GAP_MILLIS);
        }
        CompletableFuture.allOf(requests.toArray(CompletableFuture[]::new)).join();

        List<Harness.Reply> noAnswers = harness.replies.stream()
                .filter(reply -> reply.answer() != null && !reply.detail().matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?"))
                .toList();
        noAnswers.forEach(reply -> harness.note("MIXED: " + reply.requestId() + " got '" + reply.detail() + "'"));
        long unserved = harness.replies.stream().filter(reply -> reply.status() != 200).count();
        boolean broken = !noAnswers.isEmpty() || !harness.trouble && unserved > 0;
        Harness.finish(harness, broken, noAnswers.size() + " clients got bytes that are no answer, for " + spoiled.size()
                + " spoiled answers of " + REQUESTS + "; " + unserved + " requests weren't served");
    }

    private static void answer(
            Harness harness, Harness.Message request, OutputStream out, boolean spoil, Set<String> spoiled)
            throws IOException, InterruptedException {
        Thread.sleep(WORK_MILLIS);
        String id = request.requestId();
        byte[] sound = Harness.soundAnswer(request, "done " + id);
        if (!spoil) {
            out.write(sound);
            out.flush();
            return;
        }
        spoiled.add(id);
        harness.note("the answer to " + id + " is spoiled");
        out.write(new String(sound, StandardCharsets.UTF_8)
                .replaceFirst("200 OK", "20 OK")
                .getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String configuration() {
        return "{\"version\":\"r7\",\"routes\":[{\"name\":\"reserve\",\"host\":\"" + HOST
                + "\",\"prefix\":\"/puka111/\",\"kind\":\"non_idempotent\",\"timeout_ms\":5000"
                + ",\"target_latency_ms\":1500,\"priority\":1,\"service\":\"booking\",\"attempts\":2}],"
                + "\"services\":[{\"name\":\"booking\",\"health_check\":\"/health\",\"connection_limit\":390},"
                + "{\"name\":\"front\",\"health_check\":\"/health\",\"connection_limit\":390}],"
                + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
