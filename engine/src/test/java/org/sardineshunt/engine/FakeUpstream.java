package org.sardineshunt.engine;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import org.sardineshunt.coordination.route.FleetConfiguration.CallerLimits;
import org.sardineshunt.engine.http.HttpExchange;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpResponseData;
import org.sardineshunt.engine.http.HttpServer;

/** An upstream that records what reaches it and answers as a test says. Thread-safe. */
final class FakeUpstream {
    private final String id;
    private final List<HttpExchange> arrived = new CopyOnWriteArrayList<>();
    private final AtomicInteger left = new AtomicInteger();
    private final HttpServer server = new HttpServer(() -> CallerLimits.DEFAULT, this::take);
    private final int port;
    private volatile Consumer<HttpExchange> behaviour = this::succeed;

    FakeUpstream(EventLoopGroup loops, String id) {
        this.id = id;
        port = server.listen(loops, new InetSocketAddress("127.0.0.1", 0));
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    String id() {
        return id;
    }

    /** Returns the requests that arrived. */
    List<HttpExchange> arrived() {
        return arrived;
    }

    /** Returns how many callers closed their connection before they were answered. */
    int left() {
        return left.get();
    }

    void behave(Consumer<HttpExchange> newBehaviour) {
        behaviour = newBehaviour;
    }

    void succeed(HttpExchange exchange) {
        answer(exchange, 200, new HttpHeader("X-Signature", "signed by " + id));
    }

    void fail(HttpExchange exchange) {
        answer(exchange, 500, new HttpHeader("X-Signature", "signed by " + id));
    }

    void answer(HttpExchange exchange, int status, HttpHeader field) {
        String requestId = exchange.request().header("X-Request").orElse("");
        exchange.respond(new HttpResponseData(
                status,
                List.of(new HttpHeader("X-Request", requestId), field),
                ("answer of " + id).getBytes(StandardCharsets.UTF_8)));
    }

    /** Closes all connections and the port, as a crash would. */
    void crash() {
        server.close();
    }

    private void take(HttpExchange exchange) {
        exchange.onDisconnect(left::incrementAndGet);
        arrived.add(exchange);
        behaviour.accept(exchange);
    }
}
