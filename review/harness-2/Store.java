import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Stand-in for the platform's store: rows under conditions, snapshots and the feed of changes. */
final class Store {
    private static final Pattern WRITE = Pattern.compile(
            "\"table\":\"([^\"]*)\".*?\"key\":\"([^\"]*)\",\"row_version\":(\\d+).*?\"value\":\"([^\"]*)\"");

    private record Row(String table, String key, String value, long version) {}

    private final Map<String, Row> rows = new TreeMap<>();
    private final HttpServer server;
    private long version;
    private boolean down;

    Store(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext(Wire.expand("@read-rows"), exchange -> answer(exchange, snapshot(query(exchange))));
        server.createContext(Wire.expand("@follow-rows"), exchange -> answer(exchange, feed(query(exchange))));
        server.createContext(Wire.expand("@change-rows"), this::write);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Starts or ends a time in which all calls get status 503. */
    synchronized void setDown(boolean newDown) {
        down = newDown;
        notifyAll();
    }

    private void answer(HttpExchange exchange, String page) throws IOException {
        boolean isDown;
        synchronized (this) {
            isDown = down;
        }
        respond(exchange, isDown ? 503 : 200, isDown ? "{}" : page);
    }

    /** Writes the manifest as the operator does. */
    void putManifest(String manifest) {
        put("op", "config", Base64.getEncoder().encodeToString(manifest.getBytes(StandardCharsets.UTF_8)));
    }

    private synchronized void put(String table, String key, String value) {
        version++;
        rows.put(table + '/' + key, new Row(table, key, value, version));
        notifyAll();
    }

    private synchronized String snapshot(Map<String, String> query) {
        return page(row -> row.table().equals(query.get("table")));
    }

    private synchronized String feed(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        Predicate<Row> changed = row -> row.table().equals(query.get("table")) && row.version() > after;
        try {
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            while (!down && rows.values().stream().noneMatch(changed) && leftMillis > 0) {
                wait(leftMillis);
                leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return page(changed);
    }

    private synchronized void write(HttpExchange exchange) throws IOException {
        Matcher matcher = WRITE.matcher(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        if (!matcher.find()) {
            respond(exchange, 400, "{}");
            return;
        }
        if (down) {
            respond(exchange, 503, "{}");
            return;
        }
        Row stored = rows.get(matcher.group(1) + '/' + matcher.group(2));
        if (Long.parseLong(matcher.group(3)) != (stored == null ? 0 : stored.version())) {
            respond(exchange, 412, "{\"rows\":[],\"row_version\":" + version + ",\"now_ms\":" + nowMillis() + "}");
            return;
        }
        put(matcher.group(1), matcher.group(2), matcher.group(4));
        respond(exchange, 200, "{\"row_version\":" + version + ",\"now_ms\":" + nowMillis() + "}");
    }

    private String page(Predicate<Row> included) {
        return rows.values().stream()
                .filter(included)
                .map(row -> "{\"table\":\"" + row.table() + "\",\"part\":\"\",\"key\":\"" + row.key()
                        + "\",\"value\":\"" + row.value() + "\",\"row_version\":" + row.version() + "}")
                .collect(Collectors.joining(
                        ",",
                        "{\"rows\":[",
                        "],\"has_more\":false,\"row_version\":" + version + ",\"now_ms\":" + nowMillis() + "}"));
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private static Map<String, String> query(HttpExchange exchange) {
        return Arrays.stream(exchange.getRequestURI().getRawQuery().split("&"))
                .map(parameter -> parameter.split("=", 2))
                .collect(Collectors.toMap(
                        parameter -> parameter[0],
                        parameter -> URLDecoder.decode(parameter[1], StandardCharsets.UTF_8)));
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
