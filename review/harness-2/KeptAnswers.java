import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 9: a burst of requests that are not idempotent and whose answers are large. The home keeps each answer for some
 * seconds after the client has received it.
 */
final class KeptAnswers {
    private static final int ANSWER_BYTES = 540_000;
    private static final int WORK_MILLIS = 200;
    private static final int SLOTS = 8;
    private static final double USUAL_PER_SECOND = 12;
    private static final double BURST_FACTOR = 2.6;
    private static final int BURST_MILLIS = 6_600;
    private static final int BURSTS = 3;
    private static final int RESTART_MILLIS = 1_000;
    private static final int MOST_LOST = 3;
    private static final String MANIFEST =
            """
            {"version":"r1","routes":[{"name":"reserve","host":"h.example","prefix":"/reserve/","kind":"non_idempotent",
            "timeout_ms":5000,"target_latency_ms":1500,"priority":1,"service":"booking","attempts":2}],
            "services":[{"name":"booking","health_check":"/health","connection_limit":390}],
            "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();
    private static final Queue<Socket> IDLE = new ConcurrentLinkedQueue<>();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();

    private KeptAnswers() {}

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[0]));
        Fleet fleet = new Fleet(record);
        fleet.store.putManifest(MANIFEST);
        Upstream upstream = new Upstream(
                record, "i-1", fleet.host(2), "booking", SLOTS, 0, (socket, input, head) -> serve(socket, input, head));
        Node node = fleet.addNode("n-1", 2, "booking", upstream.port());
        node.start();
        upstream.startCheckIns(node);
        if (!node.awaitReady(30_000)) {
            record.end(2, "the node does not become ready");
        }
        Thread.sleep(2_000);
        send(record, node, USUAL_PER_SECOND, 10_000);
        int ends = 0;
        for (int burst = 1; burst <= BURSTS; burst++) {
            send(record, node, Record.isTrouble() ? BURST_FACTOR * USUAL_PER_SECOND : USUAL_PER_SECOND, BURST_MILLIS);
            if (node.isAlive()) {
                send(record, node, USUAL_PER_SECOND, 8_000);
            }
            if (!node.isAlive()) {
                ends++;
                record.line(node.name + ": the process has ended by itself with status " + node.exitValue() + ", log: "
                        + node.logLines("OutOfMemory", 1));
                // The platform starts it again.
                Thread.sleep(RESTART_MILLIS);
                node.start();
                node.awaitReady(10_000);
                Thread.sleep(4_000);
            }
        }
        Thread.sleep(1_500);
        record.line(SERVED.get() + " requests answered with success; " + LOST.get()
                + " had been passed on from a kept connection that closed without an answer");
        if (LOST.get() > MOST_LOST) {
            record.end(1, "LOST: " + LOST.get() + " requests were passed on from kept connections that closed without an"
                    + " answer; the process ended by itself " + ends + " times");
        }
        record.end(SERVED.get() == 0 ? 2 : 0, "the process ended by itself " + ends + " times, " + SERVED.get() + " requests were served");
    }

    private static void send(Record record, Node node, double perSecond, int millis) throws InterruptedException {
        record.line(perSecond + " requests a second for " + millis + " ms");
        long startNanos = System.nanoTime();
        for (int number = 0; number * 1_000 / perSecond < millis && node.isAlive(); number++) {
            long dueMillis = (long) (number * 1_000 / perSecond);
            Thread.sleep(Math.max(0, dueMillis - (System.nanoTime() - startNanos) / 1_000_000));
            String id = "reserve-" + NUMBER.incrementAndGet();
            Upstream.daemon(id, () -> reserve(record, node, id));
        }
    }

    private static final AtomicInteger NUMBER = new AtomicInteger();

    private static boolean serve(Socket socket, InputStream input, Http.Head head)
            throws IOException, InterruptedException {
        Http.copy(input, null, Upstream.bodyLength(head));
        String id = head.field("@request-id");
        if (id == null) {
            socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        RUN.add(id);
        Thread.sleep(WORK_MILLIS);
        socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\n@request-id: " + id
                + "\r\n@signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n"));
        socket.getOutputStream().write(new byte[ANSWER_BYTES]);
        return true;
    }

    // Connections are kept for further requests.
    private static void reserve(Record record, Node node, String id) throws IOException {
        Socket kept = IDLE.poll();
        boolean reused = kept != null;
        Socket socket = reused ? kept : Http.connect(node.host, node.callerPort, 12_000);
        try {
            socket.getOutputStream().write(Http.bytes("POST /reserve/a HTTP/1.1\r\nHost: h.example\r\n@request-id: " + id
                    + "\r\n@time-left: 10000\r\nContent-Length: 2\r\n\r\n{}"));
            Http.Response response = Http.readResponse(Http.input(socket));
            if (response == null || !response.complete()) {
                throw new IOException("connection closed");
            }
            record.line(id + ": client: status " + response.head().status());
            SERVED.addAndGet(response.head().status() == 200 ? 1 : 0);
            if (response.head().field("Connection") == null) {
                IDLE.add(socket);
            }
        } catch (IOException broken) {
            boolean run = RUN.contains(id);
            LOST.addAndGet(reused && run ? 1 : 0);
            record.line(id + ": client: " + broken.getMessage() + ", " + (run ? "" : "not ") + "run, "
                    + (reused ? "kept" : "new") + " connection");
        }
    }
}
