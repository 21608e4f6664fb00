import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The store gives no response for some seconds, about half a minute after the manifest has changed. Later, when the store
 * has been stable again for a while, a further manifest moves a route to another service.
 */
final class SilentStore {
    private static final int CLIENTS = 6;
    private static final long SILENCE_DELAY_MILLIS = 28_000;
    private static final long SILENCE_MILLIS = 4_500;
    private static final long STABILITY_MILLIS = 3_000;
    private static final long APPLY_MILLIS = 2_000;
    private static final long OBSERVED_MILLIS = 35_000;

    private final Record record;
    private final AtomicLong acknowledgedMillis = new AtomicLong(Long.MAX_VALUE);
    private final AtomicLong lastOldMillis = new AtomicLong();
    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final Queue<String> oldRuns = new ConcurrentLinkedQueue<>();
    private final AtomicInteger newRuns = new AtomicInteger();
    private volatile boolean stopped;

    private SilentStore(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) {
        Case.run((fleet, record, trouble) -> new SilentStore(record).hold(fleet, trouble));
    }

    private boolean hold(Fleet fleet, boolean trouble) throws Exception {
        fleet.store().put("op", "config", manifest(7, 4_000, "booking"));
        for (int index : List.of(0, 1, 2)) {
            String service = index == 2 ? "records" : "booking";
            fleet.upstream(index, "i-" + service + "-" + index, service, 4, request -> run(service, request));
            fleet.node(index, service);
        }
        for (Fleet.Node node : fleet.nodes()) {
            Case.require(node.awaitReady(20_000), "node is ready");
        }
        Threads.sleep(4_000);
        for (int index = 0; index < CLIENTS; index++) {
            String name = "c" + index;
            Fleet.Node node = fleet.nodes().get(index % 3);
            Threads.start(name, () -> client(name, node));
        }
        Threads.sleep(3_000);
        fleet.store().put("op", "config", manifest(8, 3_900, "booking"));
        Threads.sleep(SILENCE_DELAY_MILLIS);
        fleet.store().setSilent(trouble);
        Threads.sleep(SILENCE_MILLIS);
        fleet.store().setSilent(false);
        Threads.sleep(STABILITY_MILLIS + 1_000);
        fleet.store().put("op", "config", manifest(9, 3_900, "records"));
        acknowledgedMillis.set(record.millis());
        record.show("version r9, which moves the route to another service, is acknowledged");
        Threads.sleep(OBSERVED_MILLIS);
        stopped = true;
        record.show("requests sent later than " + APPLY_MILLIS + " ms after the acknowledgement: run by the new service "
                + newRuns + ", by the old one " + oldRuns.size() + ", the last of these " + lastOldMillis
                + " ms after the acknowledgement");
        oldRuns.stream().limit(3).forEach(record::show);
        return oldRuns.isEmpty();
    }

    private Upstream.Result run(String service, HttpMessage request) {
        String attempt = request.header(Wire.REQUEST_ID);
        long sinceAcknowledged = sentMillis.getOrDefault(attempt, 0L) - acknowledgedMillis.get();
        if (sinceAcknowledged > APPLY_MILLIS) {
            if (service.equals("records")) {
                newRuns.incrementAndGet();
            } else {
                oldRuns.add(attempt + " was sent " + sinceAcknowledged + " ms after the acknowledgement and run by "
                        + service);
                lastOldMillis.accumulateAndGet(sinceAcknowledged, Math::max);
            }
        }
        return new Upstream.Result(200, new byte[400], 30);
    }

    private void client(String name, Fleet.Node node) throws IOException {
        for (int number = 0; !stopped; number++) {
            String attempt = name + "n" + number;
            sentMillis.put(attempt, record.millis());
            try (Client client = new Client(node.callers(), 8_000)) {
                HttpMessage answer = client.exchange(
                        Client.request("GET", "/look/" + number, "shop.example", attempt, 3_000, ""));
                record.write(attempt + " GET /look/ at " + node.name() + ": "
                        + (answer == null ? "no answer" : String.valueOf(answer.status())));
            } catch (IOException broken) {
                record.write(attempt + " GET /look/ at " + node.name() + ": " + broken);
            }
            Threads.sleep(100);
        }
    }

    static String manifest(int version, int timeoutMillis, String service) {
        return """
                {"version":"rVERSION","routes":[
                {"name":"r-look","host":"shop.example","prefix":"/look/","kind":"idempotent","timeout_ms":TIMEOUT,
                "target_latency_ms":1500,"priority":1,"service":"SERVICE","attempts":2}],
                "services":[
                {"name":"booking","health_check":"/health","connection_limit":390,"protocol":"h1","tls":false},
                {"name":"records","health_check":"/health","connection_limit":390,"protocol":"h1","tls":false}],
                "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
                """
                .replace("VERSION", String.valueOf(version))
                .replace("TIMEOUT", String.valueOf(timeoutMillis))
                .replace("SERVICE", service);
    }
}
