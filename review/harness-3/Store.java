import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** The platform's metadata store, as PROTOCOL.md describes it: tables in memory, over HTTP/1.1. Thread-safe. */
final class Store implements AutoCloseable {
    private static final long TRANSACTION_MILLIS = 4;

    /** Changes of a row: value null if it was removed. */
    private record Row(String table, String part, String key, String value, long version) {}

    /** State of all tables at one moment. */
    record Copy(Map<String, Object> rows, long counter) {}

    private final ServerSocket listener;
    private final Record record;
    private final Map<String, Row> rows = new TreeMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private long counter = 100;
    private long historyFrom = 100;
    private long era = 1;
    private boolean down;
    private volatile boolean silent;
    private volatile boolean closed;

    Store(InetAddress address, int port, Record record) throws IOException {
        this.record = record;
        listener = new ServerSocket(port, 200, address);
        Threads.start("store", this::accept);
    }

    /** Writes a row as the operator does. */
    synchronized void put(String table, String key, String value) {
        counter++;
        Row row = new Row(table, "", key, encode(value), counter);
        rows.put(id(table, "", key), row);
        record.write("operator writes " + table + "/" + key + " as version " + counter);
        notifyAll();
    }

    /** Returns a copy of all tables. */
    synchronized Copy copy() {
        return new Copy(new HashMap<>(rows), counter);
    }

    /** Stops answering: resets all connections. */
    synchronized void takeDown() {
        down = true;
        notifyAll();
        connections.forEach(Threads::closeQuietly);
    }

    /** Comes back from an older copy, in the next era, after the operator has written its manifests again. */
    synchronized void comeBack(Copy copy, String... manifests) {
        rows.clear();
        copy.rows().forEach((id, row) -> rows.put(id, (Row) row));
        counter = copy.counter();
        historyFrom = counter;
        era++;
        record.write("store is back at version " + counter + ", era " + era);
        for (String manifest : manifests) {
            put("op", "config", manifest);
        }
        down = false;
        notifyAll();
    }

    /**
     * Gives no response, or gives responses again. A connection on which a response was lost delivers nothing further;
     * other ones and new ones are answered after the silence.
     */
    void setSilent(boolean newSilent) {
        silent = newSilent;
        record.write(newSilent ? "store gives no response" : "store responds again");
    }

    synchronized long version() {
        return counter;
    }

    /** Returns the version of a row; 0 if there is none. */
    synchronized long version(String table, String key) {
        Row row = rows.get(id(table, "", key));
        return row == null || row.value() == null ? 0 : row.version();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        connections.forEach(Threads::closeQuietly);
        synchronized (this) {
            notifyAll();
        }
    }

    private void accept() throws IOException {
        while (!closed) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            connections.add(socket);
            if (isDown()) {
                Threads.closeQuietly(socket);
            }
            Threads.start("store-connection", () -> serve(socket));
        }
    }

    private synchronized boolean isDown() {
        return down;
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean lost = false;
            for (HttpMessage request = HttpMessage.read(in); request != null; request = HttpMessage.read(in)) {
                if (lost || silent) {
                    lost = true;
                    continue;
                }
                Answer answer = answer(request);
                if (silent) {
                    lost = true;
                    continue;
                }
                if (isDown()) {
                    return;
                }
                byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer.status() + " x\r\nContent-Type: application/json\r\nStore-Era: "
                        + answer.era() + "\r\nContent-Length: " + body.length + "\r\n\r\n";
                out.write(Threads.join(head.getBytes(StandardCharsets.ISO_8859_1), body));
            }
        } finally {
            connections.remove(socket);
        }
    }

    private record Answer(int status, String body, long era) {}

    private Answer answer(HttpMessage request) throws InterruptedException {
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        Thread.sleep(TRANSACTION_MILLIS);
        if (target[0].equals(Wire.CHANGE_ROWS)) {
            return transact(new String(request.body(), StandardCharsets.UTF_8));
        }
        if (target[0].equals(Wire.READ_ROWS)) {
            return get(query);
        }
        return target[0].equals(Wire.FOLLOW_ROWS) ? feed(query) : new Answer(404, "{}", era);
    }

    @SuppressWarnings("unchecked")
    private synchronized Answer transact(String body) {
        Map<String, Object> call = (Map<String, Object>) Json.parse(body);
        List<Map<String, Object>> expected = entries(call, "expected_revision");
        boolean met = expected.stream().allMatch(entry -> {
            Row row = rows.get(id(entry));
            long version = row == null || row.value() == null ? 0 : row.version();
            return version == (Long) entry.get("row_version");
        });
        if (!met) {
            String current = expected.stream()
                    .map(entry -> rows.get(id(entry)))
                    .filter(row -> row != null && row.value() != null)
                    .map(Store::render)
                    .collect(Collectors.joining(","));
            return answer(412, "\"rows\":[" + current + "],");
        }
        counter++;
        entries(call, "puts").forEach(entry -> {
            Row row = new Row(
                    (String) entry.get("table"),
                    (String) entry.getOrDefault("part", ""),
                    (String) entry.get("key"),
                    (String) entry.get("value"),
                    counter);
            rows.put(id(entry), row);
            record.write("node writes " + row.table() + "/" + row.key() + " as version " + counter);
        });
        entries(call, "remove").forEach(entry -> rows.put(
                id(entry),
                new Row(
                        (String) entry.get("table"),
                        (String) entry.getOrDefault("part", ""),
                        (String) entry.get("key"),
                        null,
                        counter)));
        notifyAll();
        return answer(200, "");
    }

    private synchronized Answer get(Map<String, String> query) {
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Row> found = rows.values().stream()
                .filter(row -> row.table().equals(query.get("table"))
                        && row.part().equals(query.getOrDefault("part", ""))
                        && row.value() != null
                        && row.key().compareTo(query.getOrDefault("from", "")) >= 0)
                .limit(limit + 1L)
                .toList();
        boolean more = found.size() > limit;
        String shown = found.stream().limit(limit).map(Store::render).collect(Collectors.joining(","));
        return answer(200, "\"rows\":[" + shown + "],\"has_more\":" + more + ",");
    }

    private synchronized Answer feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        long startEra = era;
        while (true) {
            if (after < historyFrom || after > counter || era != startEra) {
                return answer(410, "");
            }
            List<Row> changed = rows.values().stream()
                    .filter(row -> row.table().equals(query.get("table")) && row.version() > after)
                    .sorted((left, right) -> Long.compare(left.version(), right.version()))
                    .toList();
            long leftMillis = (until - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMillis <= 0 || down || closed) {
                String shown = changed.stream().map(Store::render).collect(Collectors.joining(","));
                return answer(200, "\"rows\":[" + shown + "],");
            }
            wait(leftMillis);
        }
    }

    private Answer answer(int status, String fields) {
        return new Answer(
                status,
                "{" + fields + "\"row_version\":" + counter + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}",
                era);
    }

    private static String render(Row row) {
        String start = "{\"table\":\"" + row.table() + "\",\"part\":\"" + row.part() + "\",\"key\":\"" + row.key()
                + "\",\"row_version\":" + row.version();
        return start + (row.value() == null ? ",\"removed\":true}" : ",\"value\":\"" + row.value() + "\"}");
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> entries(Map<String, Object> call, String name) {
        return (List<Map<String, Object>>) (List<?>) call.getOrDefault(name, List.of());
    }

    private static String id(Map<String, Object> entry) {
        return id((String) entry.get("table"), (String) entry.getOrDefault("part", ""), (String) entry.get("key"));
    }

    private static String id(String table, String part, String key) {
        return table + '\n' + part + '\n' + key;
    }

    private static String encode(String value) {
        return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, String> query(String text) {
        Map<String, String> fields = new HashMap<>();
        for (String field : text.split("&")) {
            String[] sides = field.split("=", 2);
            fields.put(sides[0], sides.length > 1 ? URLDecoder.decode(sides[1], StandardCharsets.UTF_8) : "");
        }
        return fields;
    }
}
