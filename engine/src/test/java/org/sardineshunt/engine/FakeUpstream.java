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

/** An upstream that records the requests it receives and passes them to a handler of the test. Thread-safe. */
final class FakeUpstream {
    private final String id;
    private final List<HttpExchange> receivedRequests = new CopyOnWriteArrayList<>();
    private final AtomicInteger disconnects = new AtomicInteger();
    private final HttpServer server = new HttpServer(() -> CallerLimits.DEFAULT, this::handle);
    private final int port;
    private volatile Consumer<HttpExchange> handler = this::succeed;

    FakeUpstream(EventLoopGroup eventLoops, String id) {
        this.id = id;
        port = server.listen(eventLoops, new InetSocketAddress("127.0.0.1", 0));
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    String id() {
        return id;
    }

    /** Returns the received requests in order; a test may clear the list. */
    List<HttpExchange> receivedRequests() {
        return receivedRequests;
    }

    /** Returns how many connections were closed by the engine before the response. */
    int disconnects() {
        return disconnects.get();
    }

    void setHandler(Consumer<HttpExchange> newHandler) {
        handler = newHandler;
    }

    /** Responds with a signed success. */
    void succeed(HttpExchange exchange) {
        respond(exchange, 200, new HttpHeader("X-Signature", "signed by " + id));
    }

    /** Responds with a signed server error. */
    void fail(HttpExchange exchange) {
        respond(exchange, 500, new HttpHeader("X-Signature", "signed by " + id));
    }

    void respond(HttpExchange exchange, int status, HttpHeader header) {
        String requestId = exchange.request().header("X-Request").orElse("");
        exchange.respond(new HttpResponseData(
                status,
                List.of(new HttpHeader("X-Request", requestId), header),
                ("answer of " + id).getBytes(StandardCharsets.UTF_8)));
    }

    /** Closes all connections and the port, as a crash would. */
    void crash() {
        server.close();
    }

    private void handle(HttpExchange exchange) {
        exchange.onDisconnect(disconnects::incrementAndGet);
        receivedRequests.add(exchange);
        handler.accept(exchange);
    }
}
