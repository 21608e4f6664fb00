package org.sardineshunt.engine.caller;

import java.util.List;

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
     */
    Attempt create(AdmittedRequest admitted, String attemptId, boolean lastResort, long leftMillis) {
        HttpRequestData request = admitted.exchange().request();
        List<Header> forwardedHeaders = HttpHeader.endToEnd(request.headers()).stream()
                .filter(header -> !settings.headers().isSetByEngine(header.name()))
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
                .addAllHeaders(forwardedHeaders)
                .setBody(BodyBytes.toField(request.body()))
                .setCallerService(settings.callerService())
                .setLastResort(lastResort)
                .setFingerprint(admitted.fingerprint())
                .setRoute(admitted.route().name())
                .setFromRunningRequest(admitted.fromRunningRequest())
                .setTargetMillis((int) admitted.route().targetLatencyMillis())
                .build();
    }

    /** Returns a hash of the method, target and body, which names a request that crashes upstreams. */
    static long fingerprint(HttpRequestData request) {
        return RendezvousHashing.hash(request.method() + ' ' + request.target() + ' ', request.body());
    }
}
