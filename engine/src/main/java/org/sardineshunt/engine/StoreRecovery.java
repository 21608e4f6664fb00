package org.sardineshunt.engine;

import java.util.Random;

import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.announcement.Announcement;
import org.sardineshunt.coordination.announcement.Announcement.Phase;
import org.sardineshunt.engine.backendserver.HomeService;
import org.sardineshunt.engine.peer.NodeDirectory;
import org.sardineshunt.engine.platform.MonitoredTableStore;

/**
 * Restores in the store what this node had stored there, after the store has come back from an older copy. All nodes do so
 * at the same time, so their writes are spread. The row of an upstream that takes no new work is written at once: until then
 * only this process and other nodes know that. Confined to the control thread.
 */
final class StoreRecovery {
    // All rows are in one part of the store, which performs some 200 writes a second.
    private static final double SPREAD_MILLIS_PER_NODE = 6;

    private final TimerService timers;
    private final Random random;
    private final NodeDirectory directory;
    private final HomeService home;
    private final AnnouncementAcknowledger acknowledger;

    StoreRecovery(
            TimerService timers,
            Random random,
            NodeDirectory directory,
            HomeService home,
            AnnouncementAcknowledger acknowledger) {
        this.timers = timers;
        this.random = random;
        this.directory = directory;
        this.home = home;
        this.acknowledger = acknowledger;
    }

    /** Starts to restore the row of this node each time that the store comes back from an older copy. */
    void start(MonitoredTableStore store) {
        store.onEraChange(this::handleEraChange);
    }

    private void handleEraChange() {
        acknowledger.forgetStored();
        boolean departing = home.announcement()
                .map(Announcement::phase)
                .filter(phase -> phase != Phase.READY)
                .isPresent();
        double spreadMillis = SPREAD_MILLIS_PER_NODE * directory.nodes().count();
        timers.after(departing ? 0 : (long) (random.nextDouble() * spreadMillis), directory::publishAgain);
    }
}
