package org.sardineshunt.engine.platform;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.account.ClockReading;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.engine.EventLog;

/**
 * The configuration in force. Confirms on request that it is the newest, by one read of the store for all requests that
 * wait, and fetches a newer one from another node if the store doesn't give it. Versions never go back. Confined to the
 * control thread, except {@link #current}.
 */
public final class ConfigurationTracker {
    private static final long CONFIRMATION_VALIDITY_MILLIS = 1_000;
    private static final long READ_TIMEOUT_MILLIS = 500;

    // After a failed read further confirmations fail at once for this time, so that unknown keys cause few reads of a
    // store that refuses connections.
    private static final long READ_PAUSE_MILLIS = 100;

    private static final long FETCH_DELAY_MILLIS = 200;
    private static final long MAXIMUM_FETCH_DELAY_MILLIS = 4_000;

    private final TimerService timers;
    private final Supplier<ClockReading> clock;
    private final EventLog log;
    private final ConfigurationSource source;
    private final PeerSource peers;
    private final Consumer<FleetConfiguration> onAdopted;
    private final List<Consumer<Boolean>> waitingForRead = new ArrayList<>();
    private volatile FleetConfiguration configuration;
    private byte[] encoded = new byte[0];
    private Optional<ClockReading> confirmedAt = Optional.empty();
    private Optional<ClockReading> failedAt = Optional.empty();
    private boolean readInProgress;
    private long lastRead;
    private long newestVersion;
    private String newestVersionNodeId = "";
    private boolean fetchScheduled;

    /**
     * Creates a tracker without a configuration.
     *
     * @param clock reads the monotonic and the wall clock
     * @param source calls back on the control thread
     * @param peers asks other nodes, calls back on the control thread
     * @param onAdopted called after a configuration was put in force
     */
    public ConfigurationTracker(
            TimerService timers,
            Supplier<ClockReading> clock,
            EventLog log,
            ConfigurationSource source,
            PeerSource peers,
            Consumer<FleetConfiguration> onAdopted) {
        this.timers = timers;
        this.clock = clock;
        this.log = log;
        this.source = source;
        this.peers = peers;
        this.onAdopted = onAdopted;
    }

    /** Returns the configuration in force; empty before the first one was received. May be called on any thread. */
    public Optional<FleetConfiguration> current() {
        return Optional.ofNullable(configuration);
    }

    /** Returns the version in force; 0 before the first one was received. */
    public long version() {
        FleetConfiguration current = configuration;
        return current == null ? 0 : current.version();
    }

    /** Returns the encoded configuration if it is newer than the given version. */
    public Optional<byte[]> encodedIfNewerThan(long knownVersion) {
        return version() > knownVersion && encoded.length > 0 ? Optional.of(encoded) : Optional.empty();
    }

    /**
     * Puts a configuration in force unless the same version or a newer one is.
     *
     * @param newEncoded the configuration as the operators wrote it; empty if unknown, then other nodes don't get it
     */
    public void adopt(FleetConfiguration received, byte[] newEncoded) {
        if (configuration != null && received.version() <= configuration.version()) {
            return;
        }
        configuration = received;
        encoded = newEncoded;
        log.event("configuration-adopted")
                .with("version", received.version())
                .with("routes", received.routeCount())
                .with(
                        "accounts",
                        received.accounts().map(accounts -> accounts.size()).orElse(0))
                .write();
        onAdopted.accept(received);
    }

    /**
     * Confirms that the configuration in force is the newest. If the store has a newer one, that is put in force first.
     *
     * @param onResult receives whether it is confirmed, maybe before this method returns
     */
    public void confirm(Consumer<Boolean> onResult) {
        if (isConfirmed()) {
            onResult.accept(true);
            return;
        }
        if (!readInProgress && isWithin(failedAt, READ_PAUSE_MILLIS)) {
            onResult.accept(false);
            return;
        }
        waitingForRead.add(onResult);
        startRead();
    }

    /** Records the version in force at another node, and fetches that version unless the store gives it soon. */
    public void recordPeerVersion(String nodeId, long peerVersion) {
        if (peerVersion <= version() || peerVersion < newestVersion) {
            return;
        }
        newestVersion = peerVersion;
        newestVersionNodeId = nodeId;
        if (!fetchScheduled) {
            fetchScheduled = true;
            startRead();
            timers.after(FETCH_DELAY_MILLIS, () -> fetch(FETCH_DELAY_MILLIS));
        }
    }

    private boolean isConfirmed() {
        return isWithin(confirmedAt, CONFIRMATION_VALIDITY_MILLIS) && version() >= newestVersion;
    }

    private boolean isWithin(Optional<ClockReading> reading, long millis) {
        return reading.filter(earlier -> clock.get().millisSince(earlier) < millis)
                .isPresent();
    }

    private void startRead() {
        if (readInProgress) {
            return;
        }
        readInProgress = true;
        long read = ++lastRead;
        ClockReading startedAt = clock.get();
        timers.after(READ_TIMEOUT_MILLIS, () -> endRead(read, Optional.empty()));
        source.read(result -> {
            boolean usable = result.peekLeft(cause -> logFailure("store", cause))
                    .map(stored -> decodeAndAdopt("store", stored))
                    .getOrElse(false);
            boolean inTime = clock.get().millisSince(startedAt) <= READ_TIMEOUT_MILLIS;
            // What the store stated at the start of the read may have changed since.
            endRead(read, usable && inTime ? Optional.of(startedAt) : Optional.empty());
        });
    }

    private void endRead(long read, Optional<ClockReading> newConfirmedAt) {
        if (!readInProgress || read != lastRead) {
            return;
        }
        readInProgress = false;
        confirmedAt = newConfirmedAt;
        failedAt = newConfirmedAt.isPresent() ? Optional.empty() : Optional.of(clock.get());
        boolean confirmed = isConfirmed();
        List<Consumer<Boolean>> waiting = List.copyOf(waitingForRead);
        waitingForRead.clear();
        waiting.forEach(onResult -> notifyOf(confirmed, onResult));
    }

    // A request that waits has no deadline timer yet, so that the failure of another one must not leave it unanswered.
    private void notifyOf(boolean confirmed, Consumer<Boolean> onResult) {
        try {
            onResult.accept(confirmed);
        } catch (RuntimeException failure) {
            log.event("internal-error").with("failure", failure.toString()).write();
        }
    }

    private boolean decodeAndAdopt(String origin, byte[] received) {
        if (encoded.length > 0 && Arrays.equals(received, encoded)) {
            return true;
        }
        Either<String, FleetConfiguration> decoded = source.decode(received);
        decoded.peek(newer -> adopt(newer, received)).peekLeft(cause -> logFailure(origin, cause));
        return decoded.isRight();
    }

    private void fetch(long delayMillis) {
        if (version() >= newestVersion) {
            fetchScheduled = false;
            return;
        }
        peers.read(newestVersionNodeId, version(), received -> decodeAndAdopt(newestVersionNodeId, received));
        long nextDelayMillis = Math.min(MAXIMUM_FETCH_DELAY_MILLIS, 2 * delayMillis);
        timers.after(nextDelayMillis, () -> fetch(nextDelayMillis));
    }

    private void logFailure(String origin, String cause) {
        log.event("configuration-unavailable")
                .with("origin", origin)
                .with("version", version())
                .with("cause", cause)
                .write();
    }

    /** Reads the configurations of other nodes. */
    @FunctionalInterface
    public interface PeerSource {
        /** Asks a node for its configuration if that is newer than the given version; no call back if it isn't. */
        void read(String nodeId, long knownVersion, Consumer<byte[]> onReceived);
    }
}
