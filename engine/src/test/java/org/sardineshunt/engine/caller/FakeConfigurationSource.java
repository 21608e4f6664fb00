package org.sardineshunt.engine.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.engine.platform.ConfigurationSource;

/** A store of configurations, each encoded as its version, that answers when the test says so. Thread-safe. */
public final class FakeConfigurationSource implements ConfigurationSource {
    private final Map<String, FleetConfiguration> configurations = new ConcurrentHashMap<>();
    private final List<Consumer<Either<String, byte[]>>> pendingReads = new ArrayList<>();
    private FleetConfiguration stored;
    private boolean answering = true;
    private boolean down;
    private int reads;

    /** Stores a configuration and returns it. */
    public synchronized FleetConfiguration store(FleetConfiguration configuration) {
        stored = configuration;
        return register(configuration);
    }

    /** Makes a configuration decodable without storing it, and returns it. */
    public FleetConfiguration register(FleetConfiguration configuration) {
        configurations.put(String.valueOf(configuration.version()), configuration);
        return configuration;
    }

    public static byte[] encode(FleetConfiguration configuration) {
        return String.valueOf(configuration.version()).getBytes(StandardCharsets.UTF_8);
    }

    /** Sets whether reads fail. */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    /** Sets whether reads are answered at once; those that are pending are answered when it is set to true. */
    public void setAnswering(boolean isAnswering) {
        List<Consumer<Either<String, byte[]>>> answered;
        synchronized (this) {
            answering = isAnswering;
            answered = isAnswering ? List.copyOf(pendingReads) : List.of();
            pendingReads.removeAll(answered);
        }
        answered.forEach(this::answer);
    }

    public synchronized int reads() {
        return reads;
    }

    @Override
    public void read(Consumer<Either<String, byte[]>> onResult) {
        synchronized (this) {
            reads++;
            if (!answering) {
                pendingReads.add(onResult);
                return;
            }
        }
        answer(onResult);
    }

    @Override
    public Either<String, FleetConfiguration> decode(byte[] encoded) {
        FleetConfiguration decoded = configurations.get(new String(encoded, StandardCharsets.UTF_8));
        return decoded == null ? Either.left("not a configuration") : Either.right(decoded);
    }

    private void answer(Consumer<Either<String, byte[]>> onResult) {
        Either<String, byte[]> result;
        synchronized (this) {
            result = down || stored == null ? Either.left("down") : Either.right(encode(stored));
        }
        onResult.accept(result);
    }
}
