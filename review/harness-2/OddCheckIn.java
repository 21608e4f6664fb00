import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 10: a check-in of another writer, without the fields zone and version, arrives at a node. Later the upstream
 * beside it drains and gets its ack.
 */
final class OddCheckIn {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long SERVED_AFTER_ACK_MILLIS = 5_000;
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
    private static final ConcurrentMap<String, String> RESULTS = new ConcurrentHashMap<>();
    private static final AtomicInteger SENT = new AtomicInteger();
    private static volatile boolean ended;

    private OddCheckIn() {}

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[0]));
        Fleet fleet = new Fleet(record);
        fleet.store.putManifest(MANIFEST);
        Upstream leaving = addUpstream(record, fleet, "i-1", 2);
        addUpstream(record, fleet, "i-2", 3);
        for (Node node : fleet.nodes) {
            if (!node.awaitReady(30_000)) {
                record.end(2, node.name + " does not become ready");
            }
        }
        Node leavingNode = fleet.nodes.get(0);
        Thread.sleep(2_000);
        for (Node node : fleet.nodes) {
            Upstream.daemon("clients-" + node.name, () -> {
                while (true) {
                    String id = node.name + "-" + SENT.incrementAndGet();
                    Upstream.daemon(id, () -> reserve(node, id));
                    Thread.sleep(200);
                }
            });
        }
        Thread.sleep(3_000);
        record.line(count("i-1", 0) + " requests have run at i-1, " + count("i-2", 0) + " at i-2");
        if (Record.isTrouble()) {
            String body = "{\"address\":\"" + leavingNode.host + ":" + leaving.port() + "\",\"born\":" + leaving.born
                    + ",\"information\":{\"service\":\"booking\",\"slots\":4},"
                    + "\"status\":{\"state\":\"ready\",\"sequence\":1000,\"warmup_remaining_ms\":0}}";
            int status = Upstream.post(leavingNode, "@announce&of=i-1", body);
            record.line("another writer: check-in of i-1 without zone and version: " + body + " -> " + status);
        }
        Thread.sleep(4_000);
        leaving.setState("draining");
        int status = leaving.checkIn(leavingNode);
        while (status != 200 && Record.millis() < 60_000) {
            Thread.sleep(200);
            status = leaving.checkIn(leavingNode);
        }
        long acknowledgedMillis = Record.millis();
        record.line("i-1: draining, sequence " + leaving.sequence() + " -> " + status);
        if (status != 200) {
            record.end(2, "no ack for draining");
        }
        Thread.sleep(SERVED_AFTER_ACK_MILLIS);
        record.line("i-1: leave -> " + leaving.leave(leavingNode) + "; exits");
        ended = true;
        leaving.end();
        Thread.sleep(2_000);
        long late = RUNS.stream()
                .filter(run -> run.upstream().equals("i-1"))
                .filter(run -> run.atMillis() > acknowledgedMillis + DRAIN_MILLIS)
                .peek(run -> record.line(run.id() + ": began at i-1, " + (run.atMillis() - acknowledgedMillis)
                        + " ms after the ack; client: " + RESULTS.getOrDefault(run.id(), "no answer yet")))
                .count();
        long lost = RUNS.stream()
                .filter(run -> run.upstream().equals("i-1") && run.atMillis() > acknowledgedMillis + DRAIN_MILLIS)
                .filter(run -> !RESULTS.getOrDefault(run.id(), "").equals("200"))
                .count();
        record.line(SENT.get() + " requests sent, " + RESULTS.values().stream().filter("200"::equals).count()
                + " answered with success");
        if (late > 0) {
            record.end(1, "DRAIN: " + late + " requests reached the draining upstream later than " + DRAIN_MILLIS
                    + " ms after its ack; " + lost + " of them had begun when it exited and were not answered with success");
        }
        record.end(0, "no request reached the draining upstream later than " + DRAIN_MILLIS + " ms after its ack");
    }

    private static long count(String upstream, long fromMillis) {
        return RUNS.stream()
                .filter(run -> run.upstream().equals(upstream) && run.atMillis() >= fromMillis)
                .count();
    }

    private static Upstream addUpstream(Record record, Fleet fleet, String id, int number) throws IOException {
        Upstream upstream = new Upstream(
                record, id, fleet.host(number), "booking", 4, 0, (socket, input, head) -> serve(id, socket, input, head));
        Node node = fleet.addNode("n-" + number, number, "booking", upstream.port());
        node.start();
        upstream.startCheckIns(node);
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
        if (ended && upstream.equals("i-1")) {
            // The process has exited meanwhile.
            return false;
        }
        socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\n@request-id: " + id
                + "\r\n@signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 2\r\n\r\nok"));
        return true;
    }

    private static void reserve(Node node, String id) {
        try (Socket socket = Http.connect(node.host, node.callerPort, 12_000)) {
            socket.getOutputStream().write(Http.bytes("POST /reserve/a HTTP/1.1\r\nHost: h.example\r\n@request-id: " + id
                    + "\r\n@time-left: 10000\r\nContent-Length: 2\r\n\r\n{}"));
            Http.Response response = Http.readResponse(Http.input(socket));
            RESULTS.put(id, response == null ? "closed" : String.valueOf(response.head().status()));
        } catch (IOException broken) {
            RESULTS.put(id, String.valueOf(broken.getMessage()));
        }
    }
}
