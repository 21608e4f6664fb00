import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send requests with long paths that no route matches, within the limits; no node may end by itself. */
final class LongPaths {
    private static final int CLIENTS = 48;
    private static final int LONG_PATH_BYTES = 15_000;
    private static final int SHORT_PATH_BYTES = 20;
    private static final int SHORT_PAUSE_MILLIS = 0;
    private static final long LOAD_MILLIS = 60_000;

    private LongPaths() {}

    public static void main(String[] arguments) {
        Case.run(LongPaths::hold);
    }

    private static boolean hold(Fleet fleet, Record record, boolean trouble) throws Exception {
        fleet.store().put("op", "config", Configuration.TEXT);
        for (int index : List.of(0, 1)) {
            Upstream.Result result = new Upstream.Result(200, new byte[400], 60);
            fleet.upstream(index, "i-booking-" + index, "booking", 4, request -> result);
            fleet.node(index, "booking");
        }
        for (Fleet.Node node : fleet.nodes()) {
            Case.require(node.awaitReady(20_000), "node is ready");
        }
        Threads.sleep(3_000);
        String path = "/none/" + "a".repeat(trouble ? LONG_PATH_BYTES : SHORT_PATH_BYTES);
        Endings endings = new Endings(fleet, record);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        long until = System.nanoTime() + LOAD_MILLIS * 1_000_000;
        for (int index = 0; index < CLIENTS; index++) {
            String name = "c" + index;
            Fleet.Node node = fleet.nodes().get(index % 2);
            Threads.start(name, () -> client(name, node, path, record, until, answered, lost));
        }
        while (System.nanoTime() < until && !endings.isBroken()) {
            Threads.sleep(100);
        }
        boolean held = endings.held();
        record.show("answers " + answered + ", connections lost before the answer " + lost);
        Case.require(answered.get() >= CLIENTS, "clients were answered");
        return held;
    }

    private static void client(
            String name,
            Fleet.Node node,
            String path,
            Record record,
            long until,
            AtomicInteger answered,
            AtomicInteger lost)
            throws IOException {
        int number = 0;
        while (System.nanoTime() < until) {
            int first = number;
            try (Client client = new Client(node.callers(), 8_000)) {
                while (System.nanoTime() < until) {
                    String attempt = name + "n" + number++;
                    HttpMessage answer =
                            client.exchange(Client.request("GET", path, "shop.example", attempt, 4_000, ""));
                    if (answer == null) {
                        throw new IOException("the connection ended without an answer");
                    }
                    answered.incrementAndGet();
                    if (path.length() < 100) {
                        Threads.sleep(SHORT_PAUSE_MILLIS);
                    }
                }
            } catch (IOException broken) {
                lost.incrementAndGet();
                record.write(name + " at " + node.name() + ": requests n" + first + " to n" + (number - 2)
                        + " of this connection were answered, n" + (number - 1) + ": " + broken);
                Threads.sleep(300);
            }
        }
        record.write(name + " at " + node.name() + ": sent " + number + " requests GET of " + path.length()
                + " path bytes");
    }
}
