import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The store comes back from a copy that is some seconds old. The operator writes the manifest again that is gone, and
 * sends the next one, which moves a route to another service. It gets a version that the nodes have read before.
 */
final class MissedManifest {
    private static final int CLIENTS = 6;
    private static final long AWAY_MILLIS = 1_000;
    private static final long STABILITY_MILLIS = 3_000;
    private static final long APPLY_MILLIS = 2_000;
    private static final long OUTER_MILLIS = 5_000;
    private static final long OBSERVED_MILLIS = 30_000;

    private final Record record;
    private final AtomicLong acknowledgedMillis = new AtomicLong(Long.MAX_VALUE);
    private final AtomicLong lastOldMillis = new AtomicLong();
    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final Queue<String> oldRuns = new ConcurrentLinkedQueue<>();
    private final AtomicInteger newRuns = new AtomicInteger();
    private volatile boolean stopped;

    private MissedManifest(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) {
        Case.run((fleet, record, trouble) -> new MissedManifest(record).hold(fleet, trouble));
    }

    private boolean hold(Fleet fleet, boolean trouble) throws Exception {
        fleet.store().put("op", "config", SilentStore.manifest(7, 4_000, "booking"));
        List<Upstream> upstreams = new ArrayList<>();
        for (int index : List.of(0, 1, 2)) {
            String service = index == 2 ? "records" : "booking";
            upstreams.add(fleet.upstream(
                    index, "i-" + service + "-" + index, service, 4, request -> run(service, request)));
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
        Threads.sleep(2_000);

        Store.Copy copy = fleet.store().copy();
        // Within the seconds that will be gone, an upstream drains, which its node writes, and a manifest is sent.
        upstreams.get(1).stopBeats();
        Case.require(upstreams.get(1).beat("draining") == 200, "the node acknowledged that the upstream drains");
        Threads.sleep(500);
        String repeated = SilentStore.manifest(8, 3_900, "booking");
        String next = SilentStore.manifest(9, 3_900, "records");
        fleet.store().put("op", "config", repeated);
        Threads.sleep(1_000);
        if (trouble) {
            record.write("store is away");
            fleet.store().takeDown();
            Threads.sleep(AWAY_MILLIS);
            fleet.store().comeBack(copy, repeated, next);
        } else {
            Threads.sleep(AWAY_MILLIS);
            fleet.store().put("op", "config", next);
        }
        acknowledgedMillis.set(record.millis());
        record.show("version r9, which moves the route to another service, is acknowledged");
        Threads.sleep(OBSERVED_MILLIS);
        stopped = true;
        record.show("requests sent later than " + (STABILITY_MILLIS + OUTER_MILLIS + APPLY_MILLIS)
                + " ms after the acknowledgement: run by the new service " + newRuns + ", by the old one "
                + oldRuns.size() + ", the last of these " + lastOldMillis + " ms after the acknowledgement");
        oldRuns.stream().limit(3).forEach(record::show);
        return oldRuns.isEmpty();
    }

    // Leaves out all that an unstable store may excuse.
    private Upstream.Result run(String service, HttpMessage request) {
        String attempt = request.header(Wire.REQUEST_ID);
        long sinceAcknowledged = sentMillis.getOrDefault(attempt, 0L) - acknowledgedMillis.get();
        if (sinceAcknowledged > STABILITY_MILLIS + OUTER_MILLIS + APPLY_MILLIS) {
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
}
