package org.sardineshunt.node.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Connection;
import okhttp3.EventListener;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.sardineshunt.kit.Json;
import org.sardineshunt.kit.LimitedSocketFactory;

/** HTTP client of the platform's table service and object store. Thread-safe; futures complete on its own threads. */
public final class PlatformClient implements AutoCloseable {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int MAXIMUM_RESPONSE_BYTES = 32 << 20;
    private static final int HTTP_CONFLICT = 409;
    private static final int HTTP_CLIENT_ERROR_CLASS = 4;
    private static final int HTTP_UNAVAILABLE = 503;

    private final String baseUrl;
    private final OkHttpClient client;

    /** Creates a client with a timeout for each complete request. Requests are never repeated. */
    public PlatformClient(String baseUrl, Duration timeout) {
        this.baseUrl = baseUrl;
        this.client = new OkHttpClient.Builder()
                .callTimeout(timeout)
                .socketFactory(new LimitedSocketFactory(MAXIMUM_RESPONSE_BYTES))
                .eventListener(new CallStartListener())
                .retryOnConnectionFailure(false)
                .build();
    }

    /** Applies a transaction; the outcome tells conflicts. Fails with a {@link PlatformFailure}. */
    public CompletableFuture<TableRows.Outcome> transact(TableRows.Transaction transaction) {
        RequestBody body = RequestBody.create(Json.write(transaction).getBytes(StandardCharsets.UTF_8), JSON);
        Request request = new Request.Builder()
                .url(baseUrl + "/table/transaction")
                .post(body)
                .build();
        return send(request, true).thenCompose(content -> parse(content, TableRows.Outcome.class));
    }

    /** Reads rows from one key up to another, the latter excluded; fails with a {@link PlatformFailure}. */
    public CompletableFuture<TableRows.Rows> readRows(String fromKey, String toKey, int limit) {
        return get("/table/rows?from=" + urlEncode(fromKey) + "&to=" + urlEncode(toKey) + "&limit=" + limit)
                .thenCompose(content -> parse(content, TableRows.Rows.class));
    }

    /** Reads the row with a key; the result is empty if there is none. Fails with a {@link PlatformFailure}. */
    public CompletableFuture<TableRows.Rows> readRow(String key) {
        return get("/table/row?key=" + urlEncode(key)).thenCompose(content -> parse(content, TableRows.Rows.class));
    }

    /** Stores an object; fails with a {@link PlatformFailure}. */
    public CompletableFuture<byte[]> putObject(String name, byte[] content) {
        Request request = new Request.Builder()
                .url(baseUrl + "/objects/" + urlEncode(name))
                .put(RequestBody.create(content))
                .build();
        return send(request, true);
    }

    /** Reads an object; fails with a {@link PlatformFailure}. */
    public CompletableFuture<byte[]> getObject(String name) {
        return get("/objects/" + urlEncode(name));
    }

    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private CompletableFuture<byte[]> get(String path) {
        return send(new Request.Builder().url(baseUrl + path).build(), false);
    }

    private CompletableFuture<byte[]> send(Request request, boolean write) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        client.newCall(request).enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException failure) {
                boolean connectionRefused = failure instanceof java.net.ConnectException;
                result.completeExceptionally(new PlatformFailure(
                        write && !connectionRefused, "platform request failed: " + failure.getMessage()));
            }

            @Override
            public void onResponse(Call call, Response response) {
                try (response) {
                    completeResult(result, response, write);
                } catch (IOException exception) {
                    result.completeExceptionally(new PlatformFailure(
                            write, "platform response could not be read: " + exception.getMessage()));
                }
            }
        });
        return result;
    }

    private static void completeResult(CompletableFuture<byte[]> result, Response response, boolean write)
            throws IOException {
        byte[] content = response.body().bytes();
        if (response.isSuccessful() || response.code() == HTTP_CONFLICT) {
            result.complete(content);
            return;
        }
        // Other statuses, also those that HTTP doesn't define, leave the outcome of a write unknown.
        boolean refused = response.code() / 100 == HTTP_CLIENT_ERROR_CLASS || response.code() == HTTP_UNAVAILABLE;
        boolean mayHaveTakenEffect = write && !refused;
        result.completeExceptionally(
                new PlatformFailure(mayHaveTakenEffect, "platform answered with status " + response.code()));
    }

    private static <T> CompletableFuture<T> parse(byte[] content, Class<T> type) {
        return Json.read(content, type)
                .fold(
                        error -> CompletableFuture.failedFuture(new PlatformFailure(true, error)),
                        CompletableFuture::completedFuture);
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static final class CallStartListener extends EventListener {
        @Override
        public void connectionAcquired(Call call, Connection connection) {
            LimitedSocketFactory.startCall(connection);
        }
    }
}
