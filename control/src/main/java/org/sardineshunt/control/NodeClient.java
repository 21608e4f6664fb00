package org.sardineshunt.control;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.vavr.control.Either;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.sardineshunt.kit.ExitCode;
import org.sardineshunt.kit.Json;

/** Client of the operator port of a node; reads responses as JSON. Thread-safe. */
final class NodeClient {
    private final String baseUrl;
    private final OkHttpClient client =
            new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(10)).build();

    /** Creates a client for a URL with or without a trailing slash. */
    NodeClient(String baseUrl) {
        this.baseUrl = baseUrl.replaceAll("/+$", "");
    }

    <T> Either<Problem, T> get(String path, Class<T> type) {
        return send(new Request.Builder().url(baseUrl + path).build(), type);
    }

    <T> Either<Problem, T> post(String path, Object value, Class<T> type) {
        RequestBody body = RequestBody.create(
                Json.write(value).getBytes(StandardCharsets.UTF_8), MediaType.get("application/json"));
        return send(new Request.Builder().url(baseUrl + path).post(body).build(), type);
    }

    <T> Either<Problem, T> delete(String path, Class<T> type) {
        return send(new Request.Builder().url(baseUrl + path).delete().build(), type);
    }

    /** Encodes a text for a URL. */
    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private <T> Either<Problem, T> send(Request request, Class<T> type) {
        try (Response response = client.newCall(request).execute()) {
            byte[] body = response.body().bytes();
            return Json.read(body, type).mapLeft(error -> new Problem(ExitCode.FAILED, describeError(response, body)));
        } catch (IOException unreachable) {
            return Either.left(new Problem(
                    ExitCode.UNREACHABLE, "node at " + baseUrl + " cannot be reached: " + unreachable.getMessage()));
        }
    }

    private static String describeError(Response response, byte[] body) {
        return Json.readTree(body)
                .map(tree -> tree.path("title").asText("") + ": "
                        + tree.path("detail").asText(""))
                .getOrElse("status " + response.code());
    }

    /**
     * The failure of a request.
     *
     * @param code exit code of the program
     * @param message description for the operator
     */
    record Problem(ExitCode code, String message) {}
}
