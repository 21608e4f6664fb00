package org.sardineshunt.engine.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.ManualTimerService;
import org.sardineshunt.engine.platform.TableStore.Row;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

/** Plays a store that comes back from an older copy and gives out versions again. */
class TableWatchEraTest {
    private static final String TABLE = "table";
    private static final String OTHER_TABLE = "other";
    private static final long CHECK_DELAY_MILLIS = 1_000;

    private final ManualTimerService timers = new ManualTimerService();
    private final PlayedStore store = new PlayedStore(timers);
    private final PlayedStore.Client client = store.client();
    private final List<String> logLines = new ArrayList<>();
    private final EventLog log = new EventLog("node", logLines::add);
    private final MonitoredTableStore monitored = new MonitoredTableStore(timers, Runnable::run, log, client);
    private final List<String> shown = new ArrayList<>();
    private final List<String> removed = new ArrayList<>();
    private final TableWatch watch = new TableWatch(
            timers,
            log,
            monitored,
            TABLE,
            new TableWatch.Pacing(() -> 0, () -> CHECK_DELAY_MILLIS),
            new Random(1),
            rows -> rows.forEach(this::record));

    @BeforeEach
    void start() {
        store.put(TABLE, "key", "r7");
        watch.start();
        timers.advance(100);
    }

    /** Guards against a configuration that is never in force (CONFIG), because its version had been given out before. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void showsAChangeWhoseVersionWasGivenOutBefore(boolean reset) {
        PlayedStore.Copy copy = store.copy();
        store.put(OTHER_TABLE, "node", "draining");
        store.put(TABLE, "key", "r8");
        timers.advance(1_000);
        long lastVersion = watch.version().number();
        comeBack(copy, reset);
        store.put(TABLE, "key", "r8");
        store.put(TABLE, "key", "r9");
        timers.advance(3_000);
        assertThat(shown, hasItem("r9"));
        assertThat(watch.version(), is(new TableVersion(2, lastVersion)));
    }

    /** The row has the same version as before, but other content. */
    @Test
    void showsOtherContentUnderAVersionThatWasGivenOutBefore() {
        PlayedStore.Copy copy = store.copy();
        store.put(TABLE, "key", "r8");
        timers.advance(1_000);
        comeBack(copy, true);
        store.put(TABLE, "key", "r9");
        timers.advance(3_000);
        assertThat(shown, is(List.of("r7", "r8", "r9")));
    }

    /** Guards against nodes that forget each other for good: the copy was made before their rows were written. */
    @Test
    void countsARowThatTheCopyLacksAsLostAndNotAsRemoved() {
        PlayedStore.Copy copy = store.copy();
        store.put(TABLE, "new", "value");
        timers.advance(1_000);
        comeBack(copy, true);
        timers.advance(3_000);
        assertThat(removed, not(hasItem("new")));
        assertThat(watch.row("new").isPresent(), is(false));
        store.put(TABLE, "new", "again");
        timers.advance(1_000);
        assertThat(shown, hasItem("again"));
    }

    @Test
    void readsTheTableAgainWhateverCallShowsTheNewEra() {
        PlayedStore.Copy copy = store.copy();
        store.put(TABLE, "key", "r8");
        timers.advance(100);
        store.comeBack(copy);
        monitored.write(OTHER_TABLE, "node", new byte[0], new TableVersion(1, 77), result -> {});
        timers.advance(30);
        assertThat(watch.version().era(), is(2L));
        assertThat(shown, is(List.of("r7", "r8", "r7")));
    }

    /** Guards against rows that go back, or count as removed, because a read is some seconds behind. */
    @Test
    void waitsForAReadThatIsNotBehindWhatItKnows() {
        PlayedStore.Copy behind = store.copy();
        store.put(TABLE, "new", "value");
        timers.advance(1_000);
        client.setReadsFrom(behind);
        store.dropHistory();
        store.put(TABLE, "key", "r8");
        client.setResetting(true);
        client.setResetting(false);
        timers.advance(3_000);
        assertThat(removed, is(List.of()));
        assertThat(shown, is(List.of("r7", "value")));
        client.setReadsFrom(null);
        timers.advance(2_000);
        assertThat(removed, is(List.of()));
        assertThat(shown, is(List.of("r7", "value", "r8")));
    }

    /** A store that states no era shows a return only by the lost history and by reads that stay behind. */
    @Test
    void followsATableWhoseVersionsWentBackWithoutAnEra() {
        store.stateNoEra();
        PlayedStore.Copy copy = store.copy();
        timers.advance(1_000);
        for (int change = 0; change < 5; change++) {
            store.put(TABLE, "key", "lost " + change);
        }
        timers.advance(1_000);
        int calls = client.calls();
        comeBack(copy, true);
        timers.advance(20_000);
        store.put(TABLE, "key", "r8");
        timers.advance(1_000);
        assertThat(shown, hasItem("r8"));
        assertThat(client.calls() - calls, lessThan(50));
    }

    @Test
    void logsTheErasOnce() {
        comeBack(store.copy(), true);
        timers.advance(3_000);
        List<String> changes = logLines.stream()
                .filter(line -> line.contains("store-era-changed"))
                .toList();
        assertThat(changes.size(), is(1));
        assertThat(changes.get(0).contains("\"previousEra\":1,\"era\":2"), is(true));
    }

    private void comeBack(PlayedStore.Copy copy, boolean reset) {
        if (reset) {
            client.setResetting(true);
            timers.advance(500);
            client.setResetting(false);
        }
        store.comeBack(copy);
    }

    private void record(Row row) {
        if (row.removed()) {
            removed.add(row.key());
        } else {
            shown.add(new String(row.value(), StandardCharsets.UTF_8));
        }
    }
}
