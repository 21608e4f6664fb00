package org.sardineshunt.engine.caller;

import java.util.List;
import java.util.stream.Stream;

import org.sardineshunt.coordination.RendezvousHashing;
import org.sardineshunt.engine.BodyBytes;
import org.sardineshunt.engine.EngineSettings;
import org.sardineshunt.engine.http.HttpHeader;
import org.sardineshunt.engine.http.HttpRequestData;
import org.sardineshunt.engine.protocol.EngineMessages.Attempt;
import org.sardineshunt.engine.protocol.EngineMessages.Header;

/** Builds the messages that carry requests to homes. Immutable and thread-safe. */
final class AttemptFactory {
    private final EngineSettings settings;

    AttemptFactory(EngineSettings settings) {
        this.settings = settings;
    }

    /**
     * Returns the message of one attempt.
     *
     * @param lastResort whether the home should run it although its upstream isn't healthy
     * @param leftMillis time left until the deadline
     * @param acceptsStreaming whether the response may be streamed
     */
    Attempt create(
            AdmittedRequest admitted, String attemptId, boolean lastResort, long leftMillis, boolean acceptsStreaming) {
        HttpRequestData request = admitted.exchange().request();
        RequestAccount account = admitted.account();
        Stream<HttpHeader> forwardedHeaders = HttpHeader.endToEnd(request.headers()).stream()
                .filter(header -> !settings.headers().isSetByEngine(header.name()))
                .filter(header -> !account.accountsConfigured()
                        || !header.name().equalsIgnoreCase(settings.headers().accountKey()));
        // Set here and not at the home, so that homes of the previous build pass it on, too.
        Stream<HttpHeader> accountHeader = account.hasKey()
                ? Stream.of(new HttpHeader(settings.headers().accountName(), account.name()))
                : Stream.empty();
        List<Header> headers = Stream.concat(forwardedHeaders, accountHeader)
                .map(header -> Header.newBuilder()
                        .setName(header.name())
                        .setValue(header.value())
                        .build())
                .toList();
        return Attempt.newBuilder()
                .setAttemptId(attemptId)
                .setRequestId(admitted.requestId())
                .setService(admitted.service())
                .setRank(admitted.rank())
                .setIdempotent(admitted.route().idempotent())
                .setLeftMillis((int) leftMillis)
                .setMethod(request.method())
                .setTarget(request.target())
                .addAllHeaders(headers)
                .setBody(BodyBytes.toField(request.body()))
                .setCallerService(settings.callerService())
                .setLastResort(lastResort)
                .setFingerprint(admitted.fingerprint())
                .setRoute(admitted.route().name())
                .setFromRunningRequest(admitted.fromRunningRequest())
                .setTargetMillis((int) admitted.route().targetLatencyMillis())
                .setAccount(account.name())
                .setKeyFingerprint(account.keyFingerprint())
                .setConfigurationVersion(admitted.configurationVersion())
                .setBodyFollows(admitted.exchange().streamedBody().isPresent())
                .setBodyLength(admitted.exchange()
                        .streamedBody()
                        .map(body -> body.length() + 1)
                        .orElse(0L))
                .setAcceptsStreaming(acceptsStreaming)
                .build();
    }

    /** Returns a hash of the method, target and body, which names a request that crashes upstreams. */
    static long fingerprint(HttpRequestData request) {
        return RendezvousHashing.hash(request.method() + ' ' + request.target() + ' ', request.body());
    }
}
