import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.Consumer;

/** An upstream beside a node: accepts connections and says of itself what the pages tell. */
final class Upstream {
    /** Serves one request of a connection, whose head was read; returns whether the connection is kept. */
    interface Handler {
        boolean serve(Socket socket, InputStream input, Http.Head head) throws IOException, InterruptedException;
    }

    final String id;
    final long born = System.currentTimeMillis();
    final ServerSocket server;
    private final int slots;
    private final String service;
    private final String host;
    private final Record record;
    private volatile String state = "ready";
    private volatile boolean gone;
    private long sequence;

    Upstream(Record record, String id, String host, String service, int slots, int receiveBuffer, Handler handler)
            throws IOException {
        this.record = record;
        this.id = id;
        this.host = host;
        this.service = service;
        this.slots = slots;
        server = new ServerSocket();
        if (receiveBuffer > 0) {
            server.setReceiveBufferSize(receiveBuffer);
        }
        server.bind(new java.net.InetSocketAddress(InetAddress.getByName(host), 0), 256);
        daemon("accept-" + id, () -> {
            while (!gone) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon("connection-" + id, () -> serve(socket, handler));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private void serve(Socket socket, Handler handler) throws Exception {
        try (socket) {
            InputStream input = Http.input(socket);
            for (Http.Head head = Http.readHead(input); head != null; head = Http.readHead(input)) {
                String expected = head.field("@expected-upstream");
                if (expected != null && !expected.equals(id)) {
                    Http.copy(input, null, bodyLength(head));
                    socket.getOutputStream().write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\n@request-id: "
                            + head.field("@request-id") + "\r\n@upstream-id: " + id
                            + "\r\nContent-Length: 0\r\n\r\n"));
                } else if (!handler.serve(socket, input, head)) {
                    return;
                }
            }
        } catch (IOException broken) {
            // The caller has closed the connection.
        }
    }

    static long bodyLength(Http.Head head) {
        return head.field("Content-Length") == null ? 0 : Long.parseLong(head.field("Content-Length"));
    }

    /** Sends a check-in to the node beside it; returns the status, 0 if there is no answer within a second. */
    int checkIn(Node node) {
        return post(node, "@announce&of=" + id, nextCheckIn());
    }

    /** Returns the body of the next check-in. */
    synchronized String nextCheckIn() {
        sequence++;
        return "{\"address\":\"" + host + ":" + port() + "\",\"born\":" + born + ",\"information\":{\"service\":\""
                + service + "\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":" + slots + "},\"status\":{\"state\":\"" + state
                + "\",\"sequence\":" + sequence + ",\"warmup_remaining_ms\":0}}";
    }

    /** Says that it leaves. */
    synchronized int leave(Node node) {
        return post(node, "@leave&of=" + id, "{\"born\":" + born + "}");
    }

    static int post(Node node, String call, String body) {
        String answer = Http.exchange(
                node.host,
                node.controlPort,
                "POST @calls?call=" + call + " HTTP/1.1\r\nHost: " + node.host + "\r\nContent-Type: application/json\r\n"
                        + "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body,
                1_000);
        return answer.startsWith("HTTP/1.1 ") ? Integer.parseInt(answer.substring(9, 12)) : 0;
    }

    long sequence() {
        return sequence;
    }

    void setState(String newState) {
        state = newState;
    }

    /** Sends a check-in every 1.5 s. */
    void startCheckIns(Node node) {
        daemon("check-ins-" + id, () -> {
            while (!gone) {
                boolean acknowledged = checkIn(node) == 200;
                Thread.sleep(acknowledged ? 1_500 : 200);
            }
        });
    }

    /** Ends the upstream: it accepts nothing more. */
    void end() throws IOException {
        gone = true;
        server.close();
        record.line(id + ": has ended");
    }

    /** A task that may fail. */
    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (Exception ended) {
                        // The task ends with its socket.
                    }
                },
                name,
                256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
