import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.Set;

/**
 * Case 7: clients upload chunked bodies while the upstreams are busy, so that the uploads wait. With the disruption the
 * chunks are one byte each, and the bodies stop short of their end; without it, chunks have 8 KiB.
 */
final class TinyChunks {
    private static final int HOMES = 6;
    private static final int SLOTS = 8;
    private static final int MOST_LOST = 3;
    private static final int ORDINARY_CALLERS = 8;
    private static final int ORDINARY_MILLIS = 2_000;
    private static final int UPLOADS = 24;
    private static final int BODY_BYTES = 860 << 10;
    private static final int LARGE_CHUNK_BYTES = 4 << 10;
    private static final int TINY_CHUNKS_FROM = 560 << 10;
    private static final int FASTER_FROM = TINY_CHUNKS_FROM + (52 << 10);
    private static final int PAUSE_MILLIS = 300;
    private static final int SHORT_PAUSE_MILLIS = 100;
    private static final int BUSY_MILLIS = 11_000;
    private static final String MANIFEST =
            """
            {"version":"r1","routes":[
            {"name":"log-upload","host":"h.example","prefix":"/upload/","kind":"upload",
            "timeout_ms":20000,"target_latency_ms":3000,"priority":1,"service":"diagnostics","attempts":1},
            {"name":"report","host":"h.example","prefix":"/report/","kind":"idempotent",
            "timeout_ms":20000,"target_latency_ms":12000,"priority":1,"service":"diagnostics","attempts":1},
            {"name":"ordinary","host":"h.example","prefix":"/ordinary/","kind":"non_idempotent",
            "timeout_ms":8000,"target_latency_ms":2500,"priority":1,"service":"billing","attempts":1}],
            "services":[{"name":"diagnostics","health_check":"/health","connection_limit":1770},
            {"name":"billing","health_check":"/health","connection_limit":1770}],
            "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    private TinyChunks() {}

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[0]));
        Fleet fleet = new Fleet(record);
        fleet.store.putManifest(MANIFEST);
        addUpstream(record, fleet, 2, "billing");
        for (int number = 3; number < 3 + HOMES; number++) {
            addUpstream(record, fleet, number, "diagnostics");
        }
        for (Node node : fleet.nodes) {
            if (!node.awaitReady(30_000)) {
                record.end(2, node.name + " does not become ready");
            }
        }
        Node entry = fleet.nodes.get(0);
        Thread.sleep(2_000);
        record.line(HOMES * SLOTS + " reports of " + BUSY_MILLIS + " ms follow, GET /report/ at " + entry.name);
        for (int number = 1; number <= HOMES * SLOTS; number++) {
            String id = "report-" + number;
            Upstream.daemon(id, () -> report(entry, id));
            Thread.sleep(10);
        }
        Thread.sleep(1_000);
        record.line(RUN.size() + " reports run; " + UPLOADS + " uploads follow, chunks of "
                + (Record.isTrouble() ? 1 : LARGE_CHUNK_BYTES) + " bytes");
        for (int number = 1; number <= UPLOADS; number++) {
            String id = "upload-" + number;
            Upstream.daemon(id, () -> upload(record, entry, id));
        }
        // Ordinary callers of another service, which the same node serves, one at a time on kept connections.
        List<Ordinary> callers = new ArrayList<>();
        for (int number = 1; number <= ORDINARY_CALLERS; number++) {
            Ordinary caller = new Ordinary(record, entry, "ordinary-" + number);
            callers.add(caller);
            Upstream.daemon("ordinary-" + number, caller::run);
        }
        for (int second = 0; second < 30 && entry.isAlive(); second++) {
            Thread.sleep(1_000);
        }
        if (!entry.isAlive()) {
            Thread.sleep(1_500);
            record.line(entry.name + ": the process has ended by itself with status " + entry.exitValue());
            entry.logLines("OutOfMemory", 2).forEach(line -> record.line(entry.name + ": log: " + line));
        }
        long lost = callers.stream().filter(caller -> caller.lost).count();
        int served = callers.stream().mapToInt(caller -> caller.served).sum();
        record.line("ordinary requests: " + served + " served; " + lost
                + " had been passed on from a kept connection that closed without an answer");
        if (!entry.isAlive()) {
            String result = "LOST: " + lost + " requests were passed on from kept connections that closed without an answer;"
                    + " the process of " + entry.name + " had ended by itself";
            record.end(lost > MOST_LOST ? 1 : 0, result);
        }
        if (served == 0) {
            record.end(2, "no ordinary request was served");
        }
        record.end(0, "all processes live, " + served + " ordinary requests were served");
    }

    private static void addUpstream(Record record, Fleet fleet, int number, String service) throws IOException {
        Upstream upstream = new Upstream(
                record, "i-" + number, fleet.host(number), service, SLOTS, 0, (socket, input, head) ->
                        serve(socket, input, head));
        Node node = fleet.addNode("n-" + number, number, service, upstream.port());
        node.start();
        upstream.startCheckIns(node);
    }

    private static boolean serve(Socket socket, InputStream input, Http.Head head)
            throws IOException, InterruptedException {
        String id = head.field("X-Attempt-Id");
        if (id == null) {
            socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        RUN.add(id);
        if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            Http.readChunks(input, null);
        } else {
            Http.copy(input, null, Upstream.bodyLength(head));
        }
        Thread.sleep(head.path().startsWith("/report/") ? BUSY_MILLIS : ORDINARY_MILLIS);
        socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                + "\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 2\r\n\r\nok"));
        return true;
    }

    private static void report(Node entry, String id) throws IOException {
        try (Socket socket = Http.connect(entry.host, entry.callerPort, 25_000)) {
            socket.getOutputStream().write(Http.bytes("GET /report/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Remaining: 20000\r\n\r\n"));
            Http.readResponse(Http.input(socket));
        }
    }

    private static void upload(Record record, Node entry, String id) throws IOException {
        try (Socket socket = Http.connect(entry.host, entry.callerPort, 25_000)) {
            Upstream.daemon("sender-" + id, () -> send(socket, id));
            Http.Response response = Http.readResponse(Http.input(socket));
            record.line(id + ": client: " + (response == null ? "closed" : "status " + response.head().status()));
        } catch (IOException broken) {
            record.line(id + ": client: " + broken.getMessage());
        }
    }

    private static void send(Socket socket, String id) throws IOException, InterruptedException {
        OutputStream output = socket.getOutputStream();
        output.write(Http.bytes("POST /upload/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Remaining: 20000\r\nTransfer-Encoding: chunked\r\n\r\n"));
        byte[] large = chunks(1, LARGE_CHUNK_BYTES);
        byte[] tiny = chunks(LARGE_CHUNK_BYTES, 1);
        for (int sent = 0; sent < BODY_BYTES; sent += LARGE_CHUNK_BYTES) {
            output.write(Record.isTrouble() && sent >= TINY_CHUNKS_FROM ? tiny : large);
            if (sent >= TINY_CHUNKS_FROM) {
                Thread.sleep(sent < FASTER_FROM ? PAUSE_MILLIS : SHORT_PAUSE_MILLIS);
            }
        }
        // The last chunk is not sent.
    }

    private static byte[] chunks(int count, int length) {
        byte[] data = new byte[length];
        Arrays.fill(data, (byte) 'a');
        String chunk = Integer.toHexString(length) + "\r\n" + new String(data, java.nio.charset.StandardCharsets.US_ASCII)
                + "\r\n";
        return Http.bytes(chunk.repeat(count));
    }

    /** A caller that sends one request after the other on a kept connection. */
    private static final class Ordinary {
        private final Record record;
        private final Node entry;
        private final String name;
        private volatile int served;
        private volatile boolean lost;

        private Ordinary(Record record, Node entry, String name) {
            this.record = record;
            this.entry = entry;
            this.name = name;
        }

        private void run() throws IOException, InterruptedException {
            String id = "";
            try (Socket socket = Http.connect(entry.host, entry.callerPort, 10_000)) {
                InputStream input = Http.input(socket);
                for (int number = 1; ; number++) {
                    id = name + "-" + number;
                    socket.getOutputStream().write(Http.bytes("POST /ordinary/a HTTP/1.1\r\nHost: h.example\r\n"
                            + "X-Attempt-Id: " + id + "\r\nX-Deadline-Remaining: 8000\r\nContent-Length: 0\r\n\r\n"));
                    Http.Response response = Http.readResponse(input);
                    if (response == null) {
                        throw new IOException("connection closed");
                    }
                    record.line(id + ": client: status " + response.head().status());
                    served += response.head().status() == 200 ? 1 : 0;
                }
            } catch (IOException broken) {
                lost = RUN.contains(id);
                record.line(id + ": client: " + broken.getMessage() + ", " + (lost ? "" : "not ") + "run");
            }
        }
    }
}
