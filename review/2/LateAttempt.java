import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Cuts the path between the machine at which the requests began and one home for some seconds. */
final class LateAttempt {
    private static final String HOST = "jepu9.example";

    // As `bulk-tour-reserve` of kf-zentrale.toml.
    private static final int DEADLINE_MILLIS = 2_500;
    private static final int ROUTE_TIMEOUT_MILLIS = 2_500;
    private static final int TARGET_MILLIS = 400;
    private static final int WORK_MILLIS = 130;
    private static final int SLOTS = 3;
    private static final int REQUESTS = 6;

    // The site files' `srv_cut` with `how = "some"`: 8.0 s.
    private static final int CUT_MILLIS = 8_000;

    // TCP doubles its retransmission timeout, 200 ms at first: what was sent at 0 is sent again at 0.2, 0.6, 1.4, 3.0,
    // 6.2 and 12.6 s. The first of these after the cut is the last one.
    private static final int RETRANSMISSION_MILLIS = 12_600;

    private LateAttempt() {}

    public static void main(String[] arguments) {
        Harness harness = null;
        try {
            harness = new Harness(arguments[0]);
            run(harness);
        } catch (Throwable failure) {
            Harness.fail(harness, failure);
        }
    }

    private static void run(Harness harness) throws Exception {
        harness.store.put("op", "config", configuration());
        Harness.Node entry = harness.node("sidecar-kz-a-1", "kz-a", "front");
        Harness.Node cutHome = harness.node("sidecar-kz-a-2", "kz-a", "booking");
        Harness.Node otherHome = harness.node("sidecar-kz-a-3", "kz-a", "booking");
        Path toHome = new Path(harness, harness.block + 92, cutHome.host);
        Path toEntry = new Path(harness, harness.block + 91, entry.host);
        use(harness, entry, harness.block + 3, cutHome.host, harness.block + 92);
        use(harness, cutHome, harness.block + 4, entry.host, harness.block + 91);
        List<Harness.Node> nodes = List.of(entry, cutHome, otherHome);
        nodes.forEach(Harness.Node::start);
        for (Harness.Node node : nodes) {
            harness.upstream(node, "i-" + node.name, SLOTS, Harness.working(WORK_MILLIS));
        }
        harness.awaitReady(30_000);
        Thread.sleep(4_000);
        for (int round = 0; round < 3; round++) {
            send(harness, entry, REQUESTS).join();
        }
        // These are at work when the cut begins, so that answers are on their way during it.
        CompletableFuture<Void> atWork = send(harness, entry, 4);
        Thread.sleep(100);
        long start = harness.now();
        if (harness.trouble) {
            harness.note("the path between " + entry.name + " and " + cutHome.name + " is cut");
            toHome.cut();
            toEntry.cut();
        }
        CompletableFuture<Void> sent = send(harness, entry, REQUESTS);
        harness.sleepUntil(start + CUT_MILLIS);
        harness.note("the path is whole again");
        toHome.heal();
        toEntry.heal();
        harness.sleepUntil(start + RETRANSMISSION_MILLIS);
        harness.note("bytes that were held up arrive");
        toHome.deliver();
        CompletableFuture.allOf(atWork, sent).join();
        Thread.sleep(3_000);

        Map<String, List<Harness.Run>> runs = harness.runsByRequest();
        List<String> twice = runs.entrySet().stream()
                .filter(request -> request.getValue().size() > 1)
                .map(request -> request.getKey() + " at "
                        + request.getValue().stream()
                                .map(each -> each.upstreamId() + " after " + (each.atMillis() - start) + " ms")
                                .collect(Collectors.joining(" and ")))
                .toList();
        twice.forEach(request -> harness.note("TWICE: " + request));
        long refused = harness.replies.stream()
                .filter(reply -> List.of(408, 421, 429, 503).contains(reply.status()))
                .filter(reply -> runs.containsKey(reply.requestId()))
                .count();
        Harness.finish(harness, !twice.isEmpty() || refused > 0, twice.size()
                + " non-idempotent requests ran twice, " + refused + " were refused and have run");
    }

    // The node reads the peer's address as that of the path between them.
    private static void use(Harness harness, Harness.Node node, String storeHost, String peer, String path)
            throws IOException {
        Pattern value = Pattern.compile("\"value\":\"([^\"]*)\"");
        UnaryOperator<String> translation = answer -> value.matcher(answer).replaceAll(found -> {
            String row = new String(Base64.getDecoder().decode(found.group(1)), StandardCharsets.ISO_8859_1);
            String translated = row.replace(peer, path);
            return "\"value\":\"" + Base64.getEncoder().encodeToString(translated.getBytes(StandardCharsets.ISO_8859_1))
                    + "\"";
        });
        harness.store.listen(new InetSocketAddress(storeHost, Harness.STORE_PORT), translation);
        node.useStore(storeHost);
    }

    private static CompletableFuture<Void> send(Harness harness, Harness.Node entry, int count) {
        List<CompletableFuture<Void>> requests = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            String path = "/puka111/" + index;
            requests.add(CompletableFuture.runAsync(
                    () -> harness.request(entry, "POST", HOST, path, new byte[] {'s'}, DEADLINE_MILLIS),
                    harness.threads));
        }
        return CompletableFuture.allOf(requests.toArray(CompletableFuture[]::new));
    }

    private static String configuration() {
        return "{\"version\":\"r7\",\"routes\":[{\"name\":\"reserve\",\"host\":\"" + HOST
                + "\",\"prefix\":\"/puka111/\",\"kind\":\"non_idempotent\",\"timeout_ms\":" + ROUTE_TIMEOUT_MILLIS
                + ",\"target_latency_ms\":" + TARGET_MILLIS
                + ",\"priority\":0,\"service\":\"booking\",\"attempts\":2}],"
                + "\"services\":[{\"name\":\"booking\",\"health_check\":\"/health\",\"connection_limit\":330},"
                + "{\"name\":\"front\",\"health_check\":\"/health\",\"connection_limit\":330}],"
                + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }

    /** The path to a machine. While it is cut, bytes are held up and new connections get no answer. */
    private static final class Path {
        private final Harness harness;
        private final InetSocketAddress target;
        private final List<Connection> connections = new CopyOnWriteArrayList<>();
        private volatile boolean cut;

        private Path(Harness harness, String at, String target) throws IOException {
            this.harness = harness;
            this.target = new InetSocketAddress(target, Harness.PEER_PORT);
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(at, Harness.PEER_PORT), 64);
            harness.threads.execute(() -> {
                try {
                    while (true) {
                        Socket near = server.accept();
                        harness.threads.execute(() -> open(near));
                    }
                } catch (IOException closed) {
                    // The harness ends.
                }
            });
        }

        void cut() {
            cut = true;
        }

        void heal() {
            cut = false;
        }

        void deliver() throws IOException {
            for (Connection connection : connections) {
                connection.deliver();
            }
        }

        private void open(Socket near) {
            try {
                if (cut) {
                    // Nothing of this connection ever arrives.
                    near.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
                    near.close();
                    return;
                }
                Socket far = new Socket();
                far.connect(target, 600);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Connection connection = new Connection(near, far);
                connections.add(connection);
                harness.threads.execute(() -> connection.forward(far, near, false));
                connection.forward(near, far, true);
            } catch (IOException failure) {
                try {
                    near.close();
                } catch (IOException ignored) {
                    // Closed already.
                }
            }
        }

        private final class Connection {
            private final Socket near;
            private final Socket far;
            private final ByteArrayOutputStream held = new ByteArrayOutputStream();
            private boolean ended;
            private boolean holds;

            private Connection(Socket near, Socket far) {
                this.near = near;
                this.far = far;
            }

            // What the far side sends during the cut is dropped: the near side has closed by the time it could arrive.
            private void forward(Socket from, Socket to, boolean towardsTarget) {
                byte[] buffer = new byte[65_536];
                try {
                    for (int read = from.getInputStream().read(buffer); read >= 0;
                            read = from.getInputStream().read(buffer)) {
                        synchronized (this) {
                            holds |= cut;
                            if (!holds) {
                                to.getOutputStream().write(buffer, 0, read);
                            } else if (towardsTarget) {
                                held.write(buffer, 0, read);
                            }
                        }
                    }
                } catch (IOException failure) {
                    // Ends like a close.
                }
                synchronized (this) {
                    holds |= cut;
                    if (towardsTarget) {
                        ended = true;
                    }
                    if (!holds) {
                        close(near);
                        close(far);
                    }
                }
            }

            private synchronized void deliver() throws IOException {
                if (holds && ended) {
                    far.getOutputStream().write(held.toByteArray());
                    far.getOutputStream().flush();
                    harness.note(held.size() + " bytes to " + target.getHostString() + " delivered");
                    far.shutdownOutput();
                }
            }

            private void close(Socket socket) {
                try {
                    socket.close();
                } catch (IOException ignored) {
                    // Closed already.
                }
            }
        }
    }
}
