package org.sardineshunt.engine;

import java.util.function.Consumer;

import io.vavr.control.Either;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.engine.platform.ConfigurationSource;

/** A source, given later, that calls back on the control thread. Thread-safe. */
final class ControlThreadConfigurationSource implements ConfigurationSource {
    private final ControlEventLoop control;
    private volatile ConfigurationSource source = ConfigurationSource.NONE;

    ControlThreadConfigurationSource(ControlEventLoop control) {
        this.control = control;
    }

    void setSource(ConfigurationSource newSource) {
        source = newSource;
    }

    @Override
    public void read(Consumer<Either<String, byte[]>> onResult) {
        source.read(result -> control.execute(() -> onResult.accept(result)));
    }

    @Override
    public Either<String, FleetConfiguration> decode(byte[] encoded) {
        return source.decode(encoded);
    }
}
