import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 8: clients upload chunked bodies while the upstream is busy, so that the uploads wait. With the disruption the
 * later chunks are one byte each; without it, they have 4 KiB. The last chunk is not sent.
 */
final class TinyChunks {
    private static final int SLOTS = 32;
    private static final int UPLOADS = 18;
    private static final int BODY_BYTES = 772 << 10;
    private static final int LARGE_CHUNK_BYTES = 4 << 10;
    private static final int TINY_CHUNKS_FROM = 516 << 10;
    private static final int PAUSE_MILLIS = 50;
    private static final int REPORT_MILLIS = 11_000;
    private static final int MOST_LOST = 3;
    private static final String MANIFEST =
            """
            {"version":"r1","routes":[
            {"name":"log-upload","host":"h.example","prefix":"/upload/","kind":"upload",
            "timeout_ms":20000,"target_latency_ms":3000,"priority":1,"service":"diagnostics","attempts":1},
            {"name":"report","host":"h.example","prefix":"/report/","kind":"idempotent",
            "timeout_ms":20000,"target_latency_ms":12000,"priority":1,"service":"diagnostics","attempts":1}],
            "services":[{"name":"diagnostics","health_check":"/health","connection_limit":1770}],
            "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger UNDECIDED = new AtomicInteger(SLOTS);

    private TinyChunks() {}

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[0]));
        Fleet fleet = new Fleet(record);
        fleet.store.putManifest(MANIFEST);
        Upstream upstream = new Upstream(
                record, "i-1", fleet.host(2), "diagnostics", SLOTS, 0, (socket, input, head) -> serve(socket, input, head));
        Node node = fleet.addNode("n-1", 2, "diagnostics", upstream.port());
        node.start();
        upstream.startCheckIns(node);
        if (!node.awaitReady(30_000)) {
            record.end(2, "the node does not become ready");
        }
        Thread.sleep(2_000);
        record.line(SLOTS + " ordinary callers: a short request each, then a report of " + REPORT_MILLIS
                + " ms on the same connection");
        for (int number = 1; number <= SLOTS; number++) {
            String name = "caller-" + number;
            Upstream.daemon(name, () -> callTwice(record, node, name));
        }
        Thread.sleep(1_500);
        record.line(RUN.stream().filter(id -> id.endsWith("-report")).count() + " reports run; " + UPLOADS
                + " uploads follow, their later chunks have " + (Record.isTrouble() ? 1 : LARGE_CHUNK_BYTES) + " bytes");
        for (int number = 1; number <= UPLOADS; number++) {
            String id = "upload-" + number;
            Upstream.daemon(id, () -> upload(record, node, id));
        }
        for (int tenth = 0; tenth < 350 && UNDECIDED.get() > 0; tenth++) {
            Thread.sleep(100);
        }
        Thread.sleep(1_000);
        String end = "";
        if (!node.isAlive()) {
            end = "; the process of " + node.name + " ended by itself with status " + node.exitValue() + ", log: "
                    + node.logLines("OutOfMemory", 1);
        }
        record.line(RUN.stream().filter(id -> id.startsWith("upload-")).count() + " uploads have begun to run");
        if (LOST.get() > MOST_LOST) {
            record.end(1, "LOST: " + LOST.get() + " requests were passed on from kept connections that closed without an"
                    + " answer" + end);
        }
        record.end(SERVED.get() == 0 ? 2 : 0, SERVED.get() + " of " + SLOTS + " reports were served, " + LOST.get()
                + " were passed on from kept connections that closed without an answer" + end);
    }

    private static boolean serve(Socket socket, InputStream input, Http.Head head)
            throws IOException, InterruptedException {
        String id = head.field("@request-id");
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
        Thread.sleep(id.endsWith("-report") ? REPORT_MILLIS : 100);
        socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\n@request-id: " + id
                + "\r\n@signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 2\r\n\r\nok"));
        return true;
    }

    private static void callTwice(Record record, Node node, String name) {
        String id = name + "-report";
        try (Socket socket = Http.connect(node.host, node.callerPort, 22_000)) {
            InputStream input = Http.input(socket);
            if (Http.readResponse(get(socket, input, name + "-short")) == null) {
                throw new IOException("connection closed");
            }
            Http.Response response = Http.readResponse(get(socket, input, id));
            if (response == null) {
                throw new IOException("connection closed");
            }
            record.line(id + ": client: status " + response.head().status());
            SERVED.addAndGet(response.head().status() == 200 ? 1 : 0);
        } catch (SocketTimeoutException late) {
            record.line(id + ": client: no answer within its time");
        } catch (IOException broken) {
            boolean run = RUN.contains(id);
            LOST.addAndGet(run ? 1 : 0);
            record.line(id + ": client: " + broken.getMessage() + ", " + (run ? "" : "not ") + "run");
        } finally {
            UNDECIDED.decrementAndGet();
        }
    }

    private static InputStream get(Socket socket, InputStream input, String id) throws IOException {
        socket.getOutputStream().write(Http.bytes("GET /report/a HTTP/1.1\r\nHost: h.example\r\n@request-id: " + id
                + "\r\n@time-left: 20000\r\n\r\n"));
        return input;
    }

    private static void upload(Record record, Node node, String id) throws IOException {
        try (Socket socket = Http.connect(node.host, node.callerPort, 25_000)) {
            Upstream.daemon("sender-" + id, () -> send(socket, id));
            Http.Response response = Http.readResponse(Http.input(socket));
            record.line(id + ": client: " + (response == null ? "closed" : "status " + response.head().status()));
        } catch (IOException broken) {
            record.line(id + ": client: " + broken.getMessage());
        }
    }

    private static void send(Socket socket, String id) throws IOException, InterruptedException {
        OutputStream output = socket.getOutputStream();
        output.write(Http.bytes("POST /upload/a HTTP/1.1\r\nHost: h.example\r\n@request-id: " + id
                + "\r\n@time-left: 20000\r\nTransfer-Encoding: chunked\r\n\r\n"));
        byte[] large = chunks(1, LARGE_CHUNK_BYTES);
        byte[] later = Record.isTrouble() ? chunks(LARGE_CHUNK_BYTES, 1) : large;
        for (int sent = 0; sent < TINY_CHUNKS_FROM; sent += LARGE_CHUNK_BYTES) {
            output.write(large);
        }
        for (int sent = TINY_CHUNKS_FROM; sent < BODY_BYTES; sent += LARGE_CHUNK_BYTES) {
            output.write(later);
            Thread.sleep(PAUSE_MILLIS);
        }
        // The last chunk is not sent.
    }

    private static byte[] chunks(int count, int length) {
        String chunk = Integer.toHexString(length) + "\r\n" + "a".repeat(length) + "\r\n";
        return Http.bytes(chunk.repeat(count));
    }
}
