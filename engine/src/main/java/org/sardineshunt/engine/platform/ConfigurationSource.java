package org.sardineshunt.engine.platform;

import java.util.function.Consumer;

import io.vavr.control.Either;
import org.sardineshunt.coordination.route.FleetConfiguration;

/** Access to the configuration of the fleet, as operators wrote it. Failures are descriptions for the log. Thread-safe. */
public interface ConfigurationSource {
    /** A source without a store and without a known encoding: all calls fail. */
    ConfigurationSource NONE = new ConfigurationSource() {
        @Override
        public void read(Consumer<Either<String, byte[]>> onResult) {
            onResult.accept(Either.left("there is no configuration store"));
        }

        @Override
        public Either<String, FleetConfiguration> decode(byte[] encoded) {
            return Either.left("the encoding is not known");
        }
    };

    /** Reads the stored configuration once and passes one result to the callback, on any thread. */
    void read(Consumer<Either<String, byte[]>> onResult);

    /** Decodes a stored configuration. */
    Either<String, FleetConfiguration> decode(byte[] encoded);
}
