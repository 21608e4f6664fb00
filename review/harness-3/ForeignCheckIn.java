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
 * A check-in of another writer, in which fields are missing, arrives at a node. Later its upstream drains, and its node
 * acknowledges that. Later than drain_ms after the acknowledgement, the upstream must get no request.
 */
final class ForeignCheckIn {
    private static final int CLIENTS = 12;
    private static final int WORK_MILLIS = 60;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long FOREIGN_SEQUENCE = 1_000_000;
    private static final long STAY_MILLIS = 15_000;
    private static final long BEAT_MILLIS = 1_500;

    private final Record record;
    private final AtomicLong acknowledgedMillis = new AtomicLong(Long.MAX_VALUE);
    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final Queue<String> lateRuns = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private volatile boolean stopped;

    private ForeignCheckIn(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) {
        Case.run((fleet, record, trouble) -> new ForeignCheckIn(record).hold(fleet, trouble));
    }

    private boolean hold(Fleet fleet, boolean trouble) throws Exception {
        fleet.store().put("op", "config", Configuration.TEXT);
        List<Upstream> upstreams = new ArrayList<>();
        for (int index : List.of(0, 1, 2)) {
            String id = "i-booking-" + index;
            upstreams.add(fleet.upstream(index, id, "booking", 4, request -> run(id, request)));
            fleet.node(index, "booking");
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
        Upstream leaving = upstreams.get(1);
        Case.require(leaving.runs() > 0, "the upstream was used");
        if (trouble) {
            record.show("check-in of another writer, without zone and version: status "
                    + leaving.foreignBeat(FOREIGN_SEQUENCE));
        }
        Threads.sleep(5_000);
        leaving.stopBeats();
        Case.require(leaving.beat("draining") == 200, "the node acknowledged that the upstream drains");
        acknowledgedMillis.set(record.millis());
        record.show("upstream i-booking-1 drains, acknowledged");
        for (long waited = 0; waited < STAY_MILLIS; waited += BEAT_MILLIS) {
            Threads.sleep(BEAT_MILLIS);
            record.write("check-in of i-booking-1, draining: " + leaving.beat("draining"));
        }
        leaving.leave(2);
        leaving.close();
        record.write("upstream i-booking-1 exits");
        Threads.sleep(1_500);
        stopped = true;
        record.show("successes " + served + ", other ends " + others + "; requests that reached upstream i-booking-1"
                + " later than " + DRAIN_MILLIS + " ms after the acknowledgement: " + lateRuns.size());
        lateRuns.stream().limit(3).forEach(record::show);
        Case.require(served.get() > CLIENTS, "clients were served");
        return lateRuns.isEmpty();
    }

    // Counts only requests that were also sent by their clients later than drain_ms after the acknowledgement.
    private Upstream.Result run(String id, HttpMessage request) {
        long now = record.millis();
        String attempt = request.header(Wire.REQUEST_ID);
        long sent = sentMillis.getOrDefault(attempt, 0L);
        if (id.equals("i-booking-1") && sent - DRAIN_MILLIS > acknowledgedMillis.get()) {
            lateRuns.add(attempt + " reached i-booking-1 " + (now - acknowledgedMillis.get())
                    + " ms after the acknowledgement");
        }
        return new Upstream.Result(200, new byte[1_500], WORK_MILLIS);
    }

    private void client(String name, Fleet.Node node) throws IOException {
        for (int number = 0; !stopped; number++) {
            String attempt = name + "n" + number;
            sentMillis.put(attempt, record.millis());
            try (Client client = new Client(node.callers(), 8_000)) {
                HttpMessage answer = client.exchange(
                        Client.request("POST", "/book/" + number, "shop.example", attempt, 5_000, "seat"));
                String status = answer == null ? "no answer" : String.valueOf(answer.status());
                record.write(attempt + " POST /book/ at " + node.name() + ": " + status);
                (status.equals("200") ? served : others).incrementAndGet();
            } catch (IOException broken) {
                record.write(attempt + " POST /book/ at " + node.name() + ": " + broken);
                others.incrementAndGet();
            }
            Threads.sleep(50);
        }
    }
}
