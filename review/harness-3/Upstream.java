import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound upstream, as PROTOCOL.md describes it: it runs {@code slots} requests at a time and queues the others, refuses
 * requests that name another instance, and reports itself to the node beside it. Thread-safe.
 */
final class Upstream implements AutoCloseable {
    private static final long BEAT_MILLIS = 1_500;

    private final String id;
    private final String service;
    private final int slots;
    private final long bornMillis = System.currentTimeMillis();
    private final ServerSocket listener;
    private final Record record;
    private final Work work;
    private final Semaphore free;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger runs = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile InetSocketAddress control;
    private volatile boolean beating = true;
    private volatile boolean closed;

    /** What a request is answered with, after how many milliseconds. */
    interface Work {
        Result run(HttpMessage request) throws Exception;
    }

    record Result(int status, byte[] body, long millis) {}

    Upstream(String id, String service, int slots, InetAddress address, int port, Record record, Work work)
            throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.record = record;
        this.work = work;
        free = new Semaphore(slots, true);
        listener = new ServerSocket(port, 200, address);
        Threads.start("upstream", this::accept);
    }

    String id() {
        return id;
    }

    /** Returns how many requests it has begun to work on. */
    int runs() {
        return runs.get();
    }

    /** Starts to report itself as ready to the node beside it. */
    void startBeats(InetSocketAddress controlAddress) {
        control = controlAddress;
        Threads.start("beats", () -> {
            while (!closed) {
                if (beating) {
                    beat("ready");
                }
                Thread.sleep(BEAT_MILLIS);
            }
        });
    }

    /** Reports a state; returns the status of the answer, or 0 if there is none within a second. */
    int beat(String state) {
        String body = "{\"address\":\"" + listener.getInetAddress().getHostAddress() + ':' + listener.getLocalPort()
                + "\",\"born\":" + bornMillis + ",\"information\":{\"service\":\"" + service
                + "\",\"version\":\"v1\",\"zone\":\"kz-a\",\"slots\":" + slots + "},\"status\":{\"state\":\"" + state
                + "\",\"sequence\":" + sequence.incrementAndGet() + ",\"warmup_remaining_ms\":0}}";
        return call(Wire.ANNOUNCE, body);
    }

    /** Stops the reports of {@link #startBeats}. */
    void stopBeats() {
        beating = false;
    }

    /** Sends a report under this upstream's identifier as another writer may: fields are missing. */
    int foreignBeat(long foreignSequence) {
        String body = "{\"address\":\"" + listener.getInetAddress().getHostAddress() + ':' + listener.getLocalPort()
                + "\",\"born\":" + bornMillis + ",\"information\":{\"service\":\"" + service + "\",\"slots\":" + slots
                + "},\"status\":{\"state\":\"ready\",\"sequence\":" + foreignSequence + "}}";
        return call(Wire.ANNOUNCE, body);
    }

    /** Says that it leaves, until that is acknowledged; it goes on serving and reports nothing more. */
    boolean leave(int tries) {
        beating = false;
        for (int attempt = 0; attempt < tries; attempt++) {
            if (call(Wire.LEAVE, "{\"born\":" + bornMillis + "}") == 200) {
                return true;
            }
            Threads.sleep(200);
        }
        return false;
    }

    private int call(String name, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "POST /v1/rpc?call=" + name + "&of=" + id + " HTTP/1.1\r\nHost: control\r\n"
                + "Content-Type: application/json\r\nConnection: close\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(control, 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Threads.join(head.getBytes(StandardCharsets.ISO_8859_1), bytes));
            HttpMessage answer = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
            return answer == null ? 0 : answer.status();
        } catch (IOException unreachable) {
            return 0;
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        connections.forEach(Threads::closeQuietly);
    }

    private void accept() throws IOException {
        while (!closed) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            connections.add(socket);
            Threads.start("upstream-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (HttpMessage request = HttpMessage.read(in); request != null; request = HttpMessage.read(in)) {
                serve(request, out);
            }
        } finally {
            connections.remove(socket);
        }
    }

    private void serve(HttpMessage request, OutputStream out) throws Exception {
        String attempt = request.header(Wire.REQUEST_ID);
        String expected = request.header(Wire.EXPECTED_UPSTREAM);
        if (!expected.isEmpty() && !expected.equals(id)) {
            write(out, 421, Wire.REQUEST_ID + ": " + attempt + "\r\nX-Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        long left = Long.parseLong(request.headers()
                .getOrDefault(Wire.TIME_LEFT.toLowerCase(java.util.Locale.ROOT), "10000"));
        waiting.incrementAndGet();
        boolean started = free.tryAcquire(left, TimeUnit.MILLISECONDS);
        waiting.decrementAndGet();
        if (!started) {
            write(out, 503, Wire.REQUEST_ID + ": " + attempt + "\r\n" + Wire.NOT_RUN + ": 1\r\n", new byte[0]);
            return;
        }
        try {
            running.incrementAndGet();
            runs.incrementAndGet();
            record.write("upstream " + id + " runs " + attempt + " " + request.method() + " " + request.target()
                    + " caller-service=" + request.header(Wire.CALLER_SERVICE));
            Result result = work.run(request);
            Thread.sleep(result.millis());
            String headers = Wire.REQUEST_ID + ": " + attempt + "\r\n" + Wire.SIGNATURE + ": " + attempt + "."
                    + result.body().length + "\r\nX-Server-Load: " + running.get() + "," + waiting.get() + "," + slots
                    + "\r\n";
            write(out, result.status(), headers, result.body());
        } finally {
            running.decrementAndGet();
            free.release();
        }
    }

    private static void write(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        out.write(Threads.join(head.getBytes(StandardCharsets.ISO_8859_1), body));
        out.flush();
    }
}
