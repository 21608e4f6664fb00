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
 * An upstream leaves and its node acknowledges that. The store comes back from a copy that is some seconds old, and the
 * node is stopped and started again. Later than drain_ms after the acknowledgement, the upstream must get no request.
 */
final class OlderCopy {
    private static final int CLIENTS = 12;
    private static final int WORK_MILLIS = 60;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long COPY_AGE_MILLIS = 2_000;
    private static final long AWAY_MILLIS = 500;
    private static final long STABILITY_MILLIS = 3_000;

    // The site's days have upstreams that stay so long after they said that they leave.
    private static final long STAY_MILLIS = 15_000;
    private static final long OBSERVED_MILLIS = 1_500;

    private final Record record;
    private final AtomicLong acknowledgedMillis = new AtomicLong(Long.MAX_VALUE);
    private final AtomicLong inTouchMillis = new AtomicLong(Long.MAX_VALUE);
    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final Queue<String> lateRuns = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private volatile boolean stopped;

    private OlderCopy(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) {
        Case.run((fleet, record, trouble) -> new OlderCopy(record).hold(fleet, trouble));
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
            Threads.start(name, () -> client(name, fleet));
        }
        Threads.sleep(3_000);
        Case.require(upstreams.get(1).runs() > 0, "the upstream was used");

        Store.Copy copy = fleet.store().copy();
        Threads.sleep(COPY_AGE_MILLIS - 1_000);
        Case.require(upstreams.get(1).leave(5), "the node acknowledged that the upstream leaves");
        acknowledgedMillis.set(record.millis());
        record.show("upstream i-booking-1 leaves, acknowledged; it goes on serving");
        Threads.sleep(1_000);
        if (trouble) {
            record.write("store is away");
            fleet.store().takeDown();
            Threads.sleep(AWAY_MILLIS);
            fleet.store().comeBack(copy);
        }
        Threads.sleep(STABILITY_MILLIS);
        Fleet.Node node = fleet.nodes().get(1);
        node.signal("TERM");
        Case.require(node.process().waitFor(10, java.util.concurrent.TimeUnit.SECONDS), "the node stopped");
        record.show("node " + node.name() + " stopped, status " + node.process().exitValue());
        node.start();
        inTouchMillis.set(record.millis() + STABILITY_MILLIS);
        Case.require(node.awaitReady(20_000), "the node is ready again");
        Threads.sleep(Math.max(0, acknowledgedMillis.get() + STAY_MILLIS - record.millis()));
        upstreams.get(1).close();
        record.write("upstream i-booking-1 exits");
        Threads.sleep(OBSERVED_MILLIS);
        stopped = true;
        record.show("successes " + served + ", other ends " + others + "; requests of machines in touch that reached"
                + " upstream i-booking-1 later than " + DRAIN_MILLIS + " ms after the acknowledgement: "
                + lateRuns.size());
        lateRuns.stream().limit(3).forEach(record::show);
        Case.require(served.get() > CLIENTS, "clients were served");
        return lateRuns.isEmpty();
    }

    // Counts only requests that their clients sent later than drain_ms after the acknowledgement, and not before the
    // node that was started again is in touch.
    private Upstream.Result run(String id, HttpMessage request) {
        long now = record.millis();
        String attempt = request.header(Wire.REQUEST_ID);
        long sent = sentMillis.getOrDefault(attempt, 0L);
        if (id.equals("i-booking-1")
                && sent > inTouchMillis.get()
                && sent - DRAIN_MILLIS > acknowledgedMillis.get()) {
            lateRuns.add(attempt + " reached i-booking-1 " + (now - acknowledgedMillis.get())
                    + " ms after the acknowledgement");
        }
        return new Upstream.Result(200, new byte[1_500], WORK_MILLIS);
    }

    private void client(String name, Fleet fleet) throws IOException {
        for (int number = 0; !stopped; number++) {
            // The clients of the middle machine move to the others while its node is down.
            Fleet.Node node = fleet.nodes().get(number % 2 * 2);
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
