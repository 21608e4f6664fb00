package org.sardineshunt.kit;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.StatusCode;
import io.jooby.exception.StatusCodeException;
import io.jooby.netty.NettyServer;
import org.jboss.logging.Logger;

/**
 * An HTTP/1.1 server that runs its handlers on its event loops.
 *
 * <pre>{@code
 * HttpEndpoint endpoint = HttpEndpoint.builder()
 *         .port(0)
 *         .route("GET", "/health", request -> CompletableFuture.completedFuture(response))
 *         .start();
 * }</pre>
 *
 * <p>The server itself responds to malformed requests and bodies over the limit with a client error. Bodies of media
 * type {@code application/x-www-form-urlencoded} reach handlers with the same fields but possibly another encoding;
 * multipart bodies are refused with status 415.
 */
public final class HttpEndpoint implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(HttpEndpoint.class);
    private static final int BIND_ATTEMPTS = 10;

    private final NettyServer server;
    private final int port;

    private HttpEndpoint(NettyServer server, int port) {
        this.server = server;
        this.port = port;
    }

    /** Returns a builder; by default the endpoint listens on loopback, on a port chosen by the system. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the port on which the endpoint listens. */
    public int port() {
        return port;
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        server.stop();
    }

    private record RouteEntry(String method, String pattern, HttpHandler handler) {}

    /** Builds and starts an {@link HttpEndpoint}. Not thread-safe. */
    public static final class Builder {
        private final List<RouteEntry> routes = new ArrayList<>();
        private String host = "127.0.0.1";
        private int port;
        private int eventLoops = 1;
        private int maximumBodyBytes = 1 << 20;
        private int maximumHeaderBytes = 16 << 10;

        private Builder() {}

        /** Sets the IP address to listen on. */
        public Builder host(String ipAddress) {
            host = ipAddress;
            return this;
        }

        /** Sets the port; 0 lets the system choose one. */
        public Builder port(int number) {
            port = number;
            return this;
        }

        /** Sets the number of event loop threads. */
        public Builder eventLoops(int threads) {
            eventLoops = threads;
            return this;
        }

        /** Sets the maximum size of a request body in bytes. */
        public Builder maximumBodyBytes(int bytes) {
            maximumBodyBytes = bytes;
            return this;
        }

        /** Adds a handler for a path pattern of Jooby, such as {@code /a/{id}} or {@code /*}. */
        public Builder route(String method, String pattern, HttpHandler handler) {
            routes.add(new RouteEntry(method, pattern, handler));
            return this;
        }

        /**
         * Starts listening.
         *
         * @throws IllegalStateException if the port cannot be bound; a port chosen by the system is tried several times
         */
        public HttpEndpoint start() {
            RuntimeException lastFailure = null;
            for (int attempt = 0; attempt < (port == 0 ? BIND_ATTEMPTS : 1); attempt++) {
                try {
                    return startOnce();
                } catch (RuntimeException bindFailure) {
                    lastFailure = bindFailure;
                }
            }
            throw new IllegalStateException("cannot listen on " + host + ":" + port, lastFailure);
        }

        private HttpEndpoint startOnce() {
            ServerOptions options = new ServerOptions()
                    .setPort(port)
                    .setIoThreads(eventLoops)
                    .setWorkerThreads(1)
                    .setMaxRequestSize(maximumBodyBytes)
                    .setMaxHeaderSize(maximumHeaderBytes)
                    .setDefaultHeaders(false);
            options.setHost(host);
            NettyServer server = new NettyServer();
            server.setOptions(options);
            Jooby application = Jooby.createApp(ExecutionMode.EVENT_LOOP, this::createApplication);
            server.start(application);
            return new HttpEndpoint(server, options.getPort());
        }

        private Jooby createApplication() {
            Jooby application = new Jooby();
            application.setStartupSummary(List.of(StartupSummary.NONE));
            application.error((context, cause, statusCode) -> send(
                    context,
                    HttpResponse.problem(statusCode.value(), statusCode.reason(), String.valueOf(cause.getMessage()))));
            routes.forEach(entry -> application.route(
                    entry.method(), entry.pattern(), context -> handleAsynchronously(context, entry.handler())));
            return application;
        }

        private static Object handleAsynchronously(Context context, HttpHandler handler) throws Exception {
            HttpRequest request = toRequest(context);
            return context.detach(detached -> {
                invoke(handler, request).whenComplete((response, failure) -> {
                    if (failure != null) {
                        LOG.errorf(failure, "handler of %s %s failed", request.method(), request.path());
                    }
                    send(
                            detached,
                            failure == null ? response : HttpResponse.problem(500, "internal error", "see the log"));
                });
                return detached;
            });
        }

        private static CompletionStage<HttpResponse> invoke(HttpHandler handler, HttpRequest request) {
            try {
                return handler.handle(request);
            } catch (RuntimeException failure) {
                return CompletableFuture.failedFuture(failure);
            }
        }

        private static HttpRequest toRequest(Context context) {
            String query = context.queryString();
            return new HttpRequest(
                    context.getMethod(),
                    context.getRequestPath(),
                    query.startsWith("?") ? query.substring(1) : query,
                    context.headerMap(),
                    readBody(context),
                    new LinkedHashMap<>(context.pathMap()));
        }

        // Jooby parses form bodies on arrival and keeps no raw bytes, so their fields are encoded again.
        private static byte[] readBody(Context context) {
            String mediaType = context.header("Content-Type").value("").toLowerCase(Locale.ROOT);
            if (mediaType.startsWith("multipart/")) {
                throw new StatusCodeException(StatusCode.UNSUPPORTED_MEDIA_TYPE, "multipart bodies are not supported");
            }
            if (!mediaType.startsWith("application/x-www-form-urlencoded")) {
                return context.body().bytes();
            }
            return context.form().toMultimap().entrySet().stream()
                    .flatMap(field ->
                            field.getValue().stream().map(value -> urlEncode(field.getKey()) + '=' + urlEncode(value)))
                    .collect(Collectors.joining("&"))
                    .getBytes(StandardCharsets.UTF_8);
        }

        private static String urlEncode(String text) {
            return URLEncoder.encode(text, StandardCharsets.UTF_8);
        }

        private static void send(Context context, HttpResponse response) {
            try {
                context.setResponseCode(response.status());
                for (Map.Entry<String, String> header : response.headers()) {
                    if (header.getKey().equalsIgnoreCase("Content-Type")) {
                        context.setResponseType(header.getValue());
                    } else {
                        context.setResponseHeader(header.getKey(), header.getValue());
                    }
                }
                context.send(response.body());
            } catch (RuntimeException sendFailure) {
                LOG.debugf(sendFailure, "response to %s could not be sent", context.getRequestPath());
            }
        }
    }
}
