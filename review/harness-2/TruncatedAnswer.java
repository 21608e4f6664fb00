import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 6: of two upstreams one garbles one in 20 of its answers. That answer has no length, comes before the long body
 * of its request was read, and is broken off by a reset. Without the disruption, the same answer is sent whole.
 */
final class TruncatedAnswer {
    private static final int MOST_UPLOADS = 600;
    private static final int GARBLED_ANSWERS = 1;
    private static final int UPLOADERS = 3;
    private static final int BODY_BYTES = 12 << 20;
    private static final int GARBLED_ONE_IN = 20;
    private static final int READ_FIRST_BYTES = 600 << 10;
    private static final int ANSWER_BYTES = 20_000;
    private static final String MANIFEST =
            """
            {"version":"r1","routes":[{"name":"log-upload","host":"h.example","prefix":"/upload/","kind":"upload",
            "timeout_ms":15000,"target_latency_ms":3000,"priority":1,"service":"diagnostics","attempts":1}],
            "services":[{"name":"diagnostics","health_check":"/health","connection_limit":390}],
            "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;

    private static final AtomicInteger ANSWERS = new AtomicInteger();
    private static final AtomicInteger UPLOADS = new AtomicInteger();
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger BROKEN = new AtomicInteger();
    private static final AtomicInteger UPLOADERS_LEFT = new AtomicInteger();
    private static volatile int garbled;

    private TruncatedAnswer() {}

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[0]));
        Fleet fleet = new Fleet(record);
        fleet.store.putManifest(MANIFEST);
        addUpstream(record, fleet, "i-1", 2, true);
        addUpstream(record, fleet, "i-2", 3, false);
        for (Node node : fleet.nodes) {
            if (!node.awaitReady(30_000)) {
                record.end(2, node.name + " does not become ready");
            }
        }
        Node node = fleet.nodes.get(0);
        Thread.sleep(1_000);
        record.line("uploads of " + BODY_BYTES + " bytes follow, POST /upload/a at " + node.name);
        for (int uploader = 1; uploader <= UPLOADERS; uploader++) {
            UPLOADERS_LEFT.incrementAndGet();
            Upstream.daemon("uploader-" + uploader, () -> {
                try {
                    uploadRepeatedly(record, node);
                } finally {
                    UPLOADERS_LEFT.decrementAndGet();
                }
            });
        }
        while (UPLOADERS_LEFT.get() > 0) {
            Thread.sleep(50);
        }
        String counts = UPLOADS.get() + " uploads, " + WHOLE.get() + " whole answers";
        if (BROKEN.get() > 0) {
            record.end(1, "MIXED: " + BROKEN.get() + " of " + garbled + " answers that were broken off looked like"
                    + " complete successes; " + counts);
        }
        record.end(garbled == 0 || WHOLE.get() == 0 ? 2 : 0, "no answer that was broken off looked complete; " + garbled
                + " came early and without a length; " + counts);
    }

    private static void uploadRepeatedly(Record record, Node node) throws Exception {
        while (garbled < GARBLED_ANSWERS && UPLOADS.get() < MOST_UPLOADS) {
            String id = "upload-" + UPLOADS.incrementAndGet();
            Http.Response response = upload(record, node, id);
            if (response == null) {
                record.line(id + ": client: connection closed without an answer");
                continue;
            }
            boolean success = response.head().status() / 100 == 2;
            if (success && Arrays.equals(response.body(), answerBody())) {
                WHOLE.incrementAndGet();
                record.line(id + ": client: status 200, whole body");
                continue;
            }
            record.line(id + ": client: status " + response.head().status() + ", signature "
                    + response.head().field("@signature") + ", Content-Length "
                    + response.head().field("Content-Length") + ", " + response.body().length + " bytes, "
                    + (response.complete() ? "complete" : "broken off"));
            if (success && response.complete()) {
                BROKEN.incrementAndGet();
            }
        }
    }

    private static Upstream addUpstream(Record record, Fleet fleet, String id, int number, boolean faulty)
            throws IOException {
        Upstream upstream = new Upstream(
                record, id, fleet.host(number), "diagnostics", 4, 64 << 10, (socket, input, head) ->
                        serve(record, faulty, socket, input, head));
        Node node = fleet.addNode("n-" + id, number, "diagnostics", upstream.port());
        node.start();
        upstream.startCheckIns(node);
        return upstream;
    }

    private static byte[] answerBody() {
        byte[] body = new byte[ANSWER_BYTES];
        Arrays.fill(body, (byte) 'a');
        return body;
    }

    private static boolean serve(Record record, boolean faulty, Socket socket, InputStream input, Http.Head head)
            throws IOException, InterruptedException {
        if (!head.path().startsWith("/upload/")) {
            socket.getOutputStream().write(Http.bytes("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        String id = head.field("@request-id");
        String start = "HTTP/1.1 200 OK\r\n@request-id: " + id
                + "\r\n@signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
        OutputStream output = socket.getOutputStream();
        if (!faulty || ANSWERS.incrementAndGet() % GARBLED_ONE_IN != 0) {
            Http.copy(input, null, BODY_BYTES);
            output.write(Http.bytes(start + "Content-Length: " + ANSWER_BYTES + "\r\n\r\n"));
            output.write(answerBody());
            return true;
        }
        garbled++;
        Http.copy(input, null, READ_FIRST_BYTES);
        output.write(Http.bytes(start + "Connection: close\r\n\r\n"));
        output.write(answerBody(), 0, ANSWER_BYTES / 2);
        Thread.sleep(700);
        if (Record.isTrouble()) {
            record.line(id + ": upstream: breaks off after half of its answer; its connection is reset");
            socket.setSoLinger(true, 0);
            socket.close();
            return false;
        }
        output.write(answerBody(), ANSWER_BYTES / 2, ANSWER_BYTES - ANSWER_BYTES / 2);
        socket.shutdownOutput();
        record.line(id + ": upstream: whole answer without a length sent; reads the rest of the body");
        Http.copy(input, null, BODY_BYTES);
        return false;
    }

    private static Http.Response upload(Record record, Node node, String id) throws Exception {
        try (Socket socket = Http.connect(node.host, node.callerPort, 15_000)) {
            Thread sender = Upstream.daemon("sender", () -> {
                OutputStream output = socket.getOutputStream();
                output.write(Http.bytes("POST /upload/a HTTP/1.1\r\nHost: h.example\r\n@request-id: " + id
                        + "\r\n@time-left: 15000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"));
                byte[] part = new byte[16_384];
                for (int sent = 0; sent < BODY_BYTES; sent += part.length) {
                    output.write(part);
                }
            });
            Http.Response response = Http.readResponse(Http.input(socket));
            sender.interrupt();
            return response;
        }
    }
}
