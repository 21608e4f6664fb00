import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 10: an upstream leaves and gets its ack. The process of the node beside it is killed while the store is down, and
 * starts again. Then a check-in arrives that the upstream had sent before it left.
 */
final class LateCheckIn {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABILITY_WINDOW_MILLIS = 3_000;
    private static final long DOWN_MILLIS = 3_000;
    private static final int WORK_MILLIS = 370;
    private static final String MANIFEST =
            """
            {"version":"r1","routes":[{"name":"reserve","host":"h.example","prefix":"/reserve/","kind":"non_idempotent",
            "timeout_ms":5000,"target_latency_ms":1500,"priority":1,"service":"booking","attempts":2}],
            "services":[{"name":"booking","health_check":"/health","connection_limit":390}],
            "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;

    /** A run that has begun at an upstream. */
    private record Run(String upstream, String id, long atMillis) {}

    private static final Queue<Run> RUNS = new ConcurrentLinkedQueue<>();
    private static final AtomicInteger SENT = new AtomicInteger();

    private LateCheckIn() {}

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[0]));
        Fleet fleet = new Fleet(record);
        fleet.store.putManifest(MANIFEST);
        Upstream leaving = addUpstream(record, fleet, "i-1", 2);
        Node node = fleet.nodes.get(0);
        for (int number = 2; number <= 3; number++) {
            Upstream other = addUpstream(record, fleet, "i-" + number, number + 1);
            other.startCheckIns(fleet.nodes.get(number - 1));
        }
        for (Node each : fleet.nodes) {
            if (!each.awaitReady(30_000)) {
                record.end(2, each.name + " does not become ready");
            }
        }
        for (int beat = 0; beat < 3; beat++) {
            record.line("i-1: check-in, sequence " + (leaving.sequence() + 1) + " -> " + leaving.checkIn(node));
            Thread.sleep(1_500);
        }
        for (Node each : fleet.nodes.subList(1, fleet.nodes.size())) {
            Upstream.daemon("clients-" + each.name, () -> {
                while (true) {
                    String id = each.name + "-" + SENT.incrementAndGet();
                    Upstream.daemon(id, () -> reserve(each, id));
                    Thread.sleep(200);
                }
            });
        }
        Thread.sleep(2_000);
        String late = leaving.nextCheckIn();
        record.line("i-1: check-in, sequence " + leaving.sequence() + " is sent and delayed on its way");
        Thread.sleep(500);
        int status = leaving.leave(node);
        long acknowledgedMillis = Record.millis();
        record.line("i-1: leave -> " + status + "; it serves on for some seconds");
        if (status != 200) {
            record.end(2, "no ack for the leave");
        }
        Thread.sleep(300);
        if (Record.isTrouble()) {
            record.line("the store is down for " + DOWN_MILLIS + " ms");
            fleet.store.setDown(true);
            Upstream.daemon("store-back", () -> {
                Thread.sleep(DOWN_MILLIS);
                fleet.store.setDown(false);
                record.line("the store is back");
            });
        }
        Thread.sleep(200);
        node.signal("KILL");
        node.awaitEnd(5_000);
        Thread.sleep(500);
        node.start();
        Thread.sleep(2_000);
        for (status = 0; status == 0 && Record.millis() < 60_000; Thread.sleep(200)) {
            status = Upstream.post(node, "@announce&of=i-1", late);
        }
        record.line("i-1: the delayed check-in arrives -> " + status);
        Thread.sleep(1_000);
        if (!node.awaitReady(10_000)) {
            record.end(2, node.name + " does not become ready again");
        }
        long inTouchMillis = Record.millis() + STABILITY_WINDOW_MILLIS;
        Thread.sleep(STABILITY_WINDOW_MILLIS + 3_000);
        leaving.end();
        long broken = RUNS.stream()
                .filter(run -> run.upstream().equals("i-1"))
                .filter(run -> run.atMillis() > Math.max(inTouchMillis, acknowledgedMillis + DRAIN_MILLIS))
                .peek(run -> record.line(run.id() + ": began at i-1, " + (run.atMillis() - acknowledgedMillis)
                        + " ms after the ack"))
                .count();
        record.line(SENT.get() + " requests sent, " + RUNS.size() + " run");
        if (broken > 0) {
            record.end(1, "DRAIN: " + broken + " requests reached the upstream that had left, later than " + DRAIN_MILLIS
                    + " ms after the ack, with all machines in touch");
        }
        record.end(RUNS.isEmpty() ? 2 : 0, "no request reached the upstream that had left");
    }

    private static Upstream addUpstream(Record record, Fleet fleet, String id, int number) throws IOException {
        Upstream upstream = new Upstream(
                record, id, fleet.host(number), "booking", 4, 0, (socket, input, head) -> serve(id, socket, input, head));
        fleet.addNode("n-" + number, number, "booking", upstream.port()).start();
        return upstream;
    }

    private static boolean serve(String upstream, Socket socket, InputStream input, Http.Head head)
            throws IOException, InterruptedException {
        Http.copy(input, null, Upstream.bodyLength(head));
        if (!head.path().startsWith("/reserve/")) {
            socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        String id = head.field("@request-id");
        RUNS.add(new Run(upstream, id, Record.millis()));
        Thread.sleep(WORK_MILLIS);
        socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\n@request-id: " + id
                + "\r\n@signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 2\r\n\r\nok"));
        return true;
    }

    private static void reserve(Node node, String id) throws IOException {
        try (Socket socket = Http.connect(node.host, node.callerPort, 12_000)) {
            socket.getOutputStream().write(Http.bytes("POST /reserve/a HTTP/1.1\r\nHost: h.example\r\n@request-id: " + id
                    + "\r\n@time-left: 10000\r\nContent-Length: 2\r\n\r\n{}"));
            Http.readResponse(Http.input(socket));
        }
    }
}
