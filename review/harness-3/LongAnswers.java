import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients of a non-idempotent route read long answers slowly; no node may end by itself. */
final class LongAnswers {
    private static final int CLIENTS = 32;
    private static final int SLOTS = 4;
    private static final int WORK_MILLIS = 60;
    private static final int LONG_BYTES = 600_000;
    private static final int SHORT_BYTES = 1_500;
    private static final int READ_BYTES = 64 << 10;
    private static final int READ_PAUSE_MILLIS = 20;
    private static final long LOAD_MILLIS = 60_000;

    private LongAnswers() {}

    public static void main(String[] arguments) {
        Case.run(LongAnswers::hold);
    }

    private static boolean hold(Fleet fleet, Record record, boolean trouble) throws Exception {
        fleet.store().put("op", "config", Configuration.TEXT);
        byte[] body = new byte[trouble ? LONG_BYTES : SHORT_BYTES];
        Arrays.fill(body, (byte) 'x');
        Upstream.Result result = new Upstream.Result(200, body, WORK_MILLIS);
        for (int index : List.of(0, 1)) {
            fleet.upstream(index, "i-booking-" + index, "booking", SLOTS, request -> result);
            fleet.node(index, "booking");
        }
        for (Fleet.Node node : fleet.nodes()) {
            Case.require(node.awaitReady(20_000), "node is ready");
        }
        Threads.sleep(3_000);
        Endings endings = new Endings(fleet, record);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        long until = System.nanoTime() + LOAD_MILLIS * 1_000_000;
        for (int index = 0; index < CLIENTS; index++) {
            String name = "c" + index;
            Fleet.Node node = fleet.nodes().get(index % 2);
            Threads.start(name, () -> client(name, node, record, until, served, refused, lost));
        }
        while (System.nanoTime() < until && !endings.isBroken()) {
            Threads.sleep(100);
        }
        boolean held = endings.held();
        record.show("successes " + served + ", other answers " + refused + ", no or no whole answer " + lost);
        Case.require(served.get() >= CLIENTS, "clients were served");
        return held;
    }

    private static void client(
            String name,
            Fleet.Node node,
            Record record,
            long until,
            AtomicInteger served,
            AtomicInteger refused,
            AtomicInteger lost)
            throws IOException {
        for (int number = 0; System.nanoTime() < until; number++) {
            String attempt = name + "n" + number;
            String start = attempt + " POST /book/ at " + node.name() + ": ";
            try (Client client = new Client(node.callers(), 8_000)) {
                client.readSlowly(READ_BYTES, READ_PAUSE_MILLIS);
                HttpMessage answer = client.exchange(
                        Client.request("POST", "/book/" + number, "shop.example", attempt, 5_000, "seat"));
                if (answer == null) {
                    throw new IOException("the connection ended without an answer");
                }
                (answer.status() == 200 ? served : refused).incrementAndGet();
                record.write(start + answer.status() + ", " + answer.body().length + " bytes");
                if (answer.status() != 200) {
                    Threads.sleep(500);
                }
            } catch (IOException broken) {
                lost.incrementAndGet();
                record.write(start + broken);
                Threads.sleep(500);
            }
        }
    }
}
