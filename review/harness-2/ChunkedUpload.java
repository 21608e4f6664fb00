import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 7: of two upstreams one rejects one in 20 uploads before it is in, keeps the connection and reads the rest of the
 * body. That upload comes in chunks, and its last chunk crosses the length from which the node passes a body on while it
 * arrives. Without the disruption the same body comes with a length.
 */
final class ChunkedUpload {
    private static final int EARLY_ANSWERS = 6;
    private static final int EARLY_ONE_IN = 20;
    private static final int MOST_UPLOADS = 600;
    private static final int UPLOADS_PER_ROUND = 41;
    private static final int USUAL_BYTES = 800_000;
    private static final int USUAL_CHUNK_BYTES = 60_000;
    private static final int CROSSING_BYTES = 525_000;
    private static final int CROSSING_CHUNK_BYTES = 30_000;
    private static final int READ_LATER_MILLIS = 200;
    private static final int PAUSE_MILLIS = 100;
    private static final String MANIFEST =
            """
            {"version":"r1","routes":[{"name":"log-upload","host":"h.example","prefix":"/upload/","kind":"upload",
            "timeout_ms":15000,"target_latency_ms":3000,"priority":1,"service":"diagnostics","attempts":1}],
            "services":[{"name":"diagnostics","health_check":"/health","connection_limit":390}],
            "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
            """;

    private static final AtomicInteger READ = new AtomicInteger();
    private static final AtomicInteger ENDED = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();
    private static final Map<String, Integer> ANSWERS_SINCE_EARLY = new ConcurrentHashMap<>();
    private static volatile int earlyAnswers;
    // The first upstream that has answered often enough is the one that answers early.
    private static volatile String earlyUpstream;
    private static final byte[] BYTES = new byte[USUAL_BYTES];

    private ChunkedUpload() {}

    public static void main(String[] arguments) throws Exception {
        new Random(1).nextBytes(BYTES);
        Record record = new Record(Path.of(arguments[0]));
        Fleet fleet = new Fleet(record);
        fleet.store.putManifest(MANIFEST);
        addUpstream(record, fleet, "i-1", 2);
        addUpstream(record, fleet, "i-2", 3);
        for (Node node : fleet.nodes) {
            if (!node.awaitReady(30_000)) {
                record.end(2, node.name + " does not become ready");
            }
        }
        Thread.sleep(2_000);
        int uploads = 0;
        while (earlyAnswers < EARLY_ANSWERS && uploads < MOST_UPLOADS) {
            uploads++;
            Node node = fleet.nodes.get(uploads % 2);
            if (uploads % UPLOADS_PER_ROUND == 0) {
                upload(record, node, "crossing-" + uploads, CROSSING_BYTES, CROSSING_CHUNK_BYTES, Record.isTrouble());
                Thread.sleep(2 * READ_LATER_MILLIS);
            } else {
                upload(record, node, "upload-" + uploads, USUAL_BYTES, USUAL_CHUNK_BYTES, true);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        Thread.sleep(1_000);
        String counts = "of " + uploads + " uploads " + READ.get() + " were read whole, " + ENDED.get()
                + " ended before the end of their body, " + earlyAnswers + " were answered early";
        if (OTHER.get() > 0) {
            record.end(1, "UNASKED: " + OTHER.get() + " times an upstream that had answered early got other bytes where"
                    + " the rest of the body was due; " + counts);
        }
        record.end(earlyAnswers == 0 ? 2 : 0, "no upstream that had answered early got other bytes; " + counts);
    }

    private static void addUpstream(Record record, Fleet fleet, String id, int number) throws IOException {
        Upstream upstream = new Upstream(
                record, id, fleet.host(number), "diagnostics", 4, 0, (socket, input, head) ->
                        serve(record, id, socket, input, head));
        Node node = fleet.addNode("n-" + id, number, "diagnostics", upstream.port());
        node.start();
        upstream.startCheckIns(node);
    }

    private static boolean serve(Record record, String upstream, Socket socket, InputStream input, Http.Head head)
            throws IOException, InterruptedException {
        if (!head.path().startsWith("/upload/")) {
            socket.getOutputStream().write(Http.bytes("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        String id = head.field("@request-id");
        boolean crossing = id.startsWith("crossing-");
        boolean early = crossing && answersEarly(upstream);
        if (early) {
            ANSWERS_SINCE_EARLY.put(upstream, 0);
            earlyAnswers++;
            answer(socket, id, "413 Content Too Large");
            Thread.sleep(READ_LATER_MILLIS);
        }
        boolean chunked = head.field("Transfer-Encoding") != null;
        String start = id + ": upstream " + upstream + ": " + (early ? "had answered early; " : "");
        String fault;
        try {
            byte[] expected = Arrays.copyOf(BYTES, crossing ? CROSSING_BYTES : USUAL_BYTES);
            fault = chunked ? readChunked(input, expected) : readWithLength(input, expected);
        } catch (IOException ended) {
            ENDED.incrementAndGet();
            record.line(start + "the connection ended before the end of the body (" + ended.getMessage() + ")");
            return false;
        }
        if (!fault.isEmpty()) {
            OTHER.addAndGet(early ? 1 : 0);
            record.line(start + fault);
            return false;
        }
        READ.incrementAndGet();
        record.line(start + "whole body read, " + (chunked ? "in chunks" : "with a length"));
        if (!early) {
            ANSWERS_SINCE_EARLY.merge(upstream, 1, Integer::sum);
            answer(socket, id, "200 OK");
        }
        return true;
    }

    private static synchronized boolean answersEarly(String upstream) {
        if (ANSWERS_SINCE_EARLY.getOrDefault(upstream, 0) < EARLY_ONE_IN - 1) {
            return false;
        }
        earlyUpstream = earlyUpstream == null ? upstream : earlyUpstream;
        return earlyUpstream.equals(upstream);
    }

    private static void answer(Socket socket, String id, String status) throws IOException {
        socket.getOutputStream().write(Http.bytes("HTTP/1.1 " + status + "\r\n@request-id: " + id
                + "\r\n@signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 2\r\n\r\nok"));
    }

    private static String readWithLength(InputStream input, byte[] expected) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (!Http.copy(input, body, expected.length)) {
            throw new EOFException("after " + body.size() + " bytes");
        }
        return Arrays.equals(body.toByteArray(), expected) ? "" : "another body of the same length";
    }

    /** Reads chunks strictly; returns what is wrong with them, empty if nothing is. */
    private static String readChunked(InputStream input, byte[] expected) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readTo(input, 20);
            if (!size.matches("[0-9a-f]{1,8}\r\n")) {
                return "after " + body.size() + " bytes, in place of the size of a chunk: " + visible(size);
            }
            int length = Integer.parseInt(size.trim(), 16);
            if (!Http.copy(input, body, length)) {
                throw new EOFException("in a chunk, after " + body.size() + " bytes");
            }
            String end = readTo(input, 2);
            if (!end.equals("\r\n")) {
                return "after " + body.size() + " bytes, in place of the end of a chunk: "
                        + visible(end + readTo(input, 20));
            }
            if (length == 0) {
                return Arrays.equals(body.toByteArray(), expected)
                        ? ""
                        : "another body, of " + body.size() + " bytes";
            }
        }
    }

    // Reads up to the end of a line, or so many bytes.
    private static String readTo(InputStream input, int most) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < most && text.indexOf("\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException("between chunks");
            }
            text.append((char) next);
        }
        return text.toString();
    }

    private static String visible(String text) {
        return "'" + text.replace("\r\n", "<CR><LF>").replaceAll("[^ -~]", "?") + "'";
    }

    private static void upload(Record record, Node node, String id, int length, int chunkLength, boolean chunked)
            throws IOException {
        try (Socket socket = Http.connect(node.host, node.callerPort, 15_000)) {
            OutputStream output = socket.getOutputStream();
            output.write(Http.bytes("POST /upload/a HTTP/1.1\r\nHost: h.example\r\n@request-id: " + id
                    + "\r\n@time-left: 15000\r\n"
                    + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + length) + "\r\n\r\n"));
            for (int sent = 0; sent < length; sent += chunkLength) {
                int count = Math.min(chunkLength, length - sent);
                output.write(Http.bytes(chunked ? Integer.toHexString(count) + "\r\n" : ""));
                output.write(BYTES, sent, count);
                output.write(Http.bytes(chunked ? "\r\n" : ""));
            }
            output.write(Http.bytes(chunked ? "0\r\n\r\n" : ""));
            Http.Response response = Http.readResponse(Http.input(socket));
            record.line(id + ": client at " + node.name + ": " + (response == null ? "no answer" : "status " + response.head().status()));
        } catch (IOException broken) {
            record.line(id + ": client at " + node.name + ": " + broken.getMessage());
        }
    }
}
