import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Clients send paths and queries with the UTF-8 bytes of names; upstreams must get them unchanged. */
final class OddPaths {
    private static final List<String> NAMES = List.of("Алматы", "süd", "Süßkirsche", "Gärtnerei");
    private static final int ROUNDS = 10;

    private OddPaths() {}

    public static void main(String[] arguments) {
        Case.run(OddPaths::hold);
    }

    private static boolean hold(Fleet fleet, Record record, boolean trouble) throws Exception {
        fleet.store().put("op", "config", Configuration.TEXT);
        Map<String, String> sent = new ConcurrentHashMap<>();
        Queue<String> changed = new ConcurrentLinkedQueue<>();
        for (int index : List.of(0, 1)) {
            fleet.upstream(index, "i-booking-" + index, "booking", 4, request -> {
                String attempt = request.header("X-Attempt-Id");
                String got = request.method() + ' ' + request.target();
                if (!got.equals(sent.get(attempt))) {
                    changed.add(attempt + ": sent " + hex(sent.get(attempt)) + ", run as " + hex(got));
                }
                return new Upstream.Result(200, new byte[400], 20);
            });
            fleet.node(index, "booking");
        }
        for (Fleet.Node node : fleet.nodes()) {
            Case.require(node.awaitReady(20_000), "node is ready");
        }
        Threads.sleep(3_000);
        int answered = 0;
        for (int round = 0; round < ROUNDS; round++) {
            for (String name : NAMES) {
                for (String method : List.of("GET", "POST")) {
                    String encoded = trouble ? bytes(name) : URLEncoder.encode(name, StandardCharsets.UTF_8);
                    String target = (method.equals("GET") ? "/look/" : "/book/") + encoded + "?town=" + encoded;
                    String attempt = "a" + answered;
                    sent.put(attempt, method + ' ' + target);
                    Fleet.Node node = fleet.nodes().get(round % 2);
                    int status = status(node, method, target, attempt);
                    record.write(attempt + " " + hex(method + ' ' + target) + " at " + node.name() + ": " + status);
                    answered += status == 200 ? 1 : 0;
                }
            }
        }
        record.show("successes " + answered + ", run with another path or query " + changed.size());
        changed.stream().limit(4).forEach(record::show);
        changed.forEach(record::write);
        Case.require(trouble || answered == ROUNDS * NAMES.size() * 2, "clients were served");
        return changed.isEmpty();
    }

    private static int status(Fleet.Node node, String method, String target, String attempt) throws IOException {
        try (Client client = new Client(node.callers(), 5_000)) {
            HttpMessage answer = client.exchange(Client.request(
                    method, target, "shop.example", attempt, 4_000, method.equals("POST") ? "seat" : ""));
            return answer == null ? 0 : answer.status();
        }
    }

    // The UTF-8 bytes of a text, each as one char.
    private static String bytes(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private static String hex(String text) {
        StringBuilder shown = new StringBuilder();
        for (char character : text.toCharArray()) {
            shown.append(character < 0x80 ? String.valueOf(character) : String.format("\\x%02x", (int) character));
        }
        return shown.toString();
    }
}
