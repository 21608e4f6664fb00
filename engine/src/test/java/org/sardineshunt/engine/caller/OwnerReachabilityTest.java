package org.sardineshunt.engine.caller;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.sardineshunt.engine.ManualTimerService;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.peer.PeerAddress;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class OwnerReachabilityTest {
    private static final long CHECK_PERIOD_MILLIS = 200;

    private final ManualTimerService timers = new ManualTimerService();
    private final FakeNodes nodes = new FakeNodes();
    private final OwnerReachability reachability = new OwnerReachability(timers, "own", nodes, new Random(1));

    /** Idle accounts must not cost messages between data centres. */
    @Test
    void callsNobodyWhileItGrantsNothing() {
        reachability.recordGrant();
        advance(1_000, false);
        advance(60_000, false);
        assertThat(nodes.called, is(empty()));
    }

    /** Links without calls don't notice a network partition, and the rate would stay whole on both sides. */
    @Test
    void callsOneNodeOfEachDataCentreThatIsSilent() {
        advance(1_400, true);
        assertThat(nodes.called, is(empty()));
        reachability.recordHeard("near");
        advance(400, true);
        assertThat(nodes.called.size(), is(1));
        assertThat(nodes.called.get(0).startsWith("far"), is(true));
    }

    @Test
    void callsAllOtherNodesOnceItHasLostOne() {
        advance(400, true);
        nodes.lost.add("far-1");
        advance(400, true);
        assertThat(nodes.called, containsInAnyOrder("near", "far-2"));
        assertThat(reachability.share(), closeTo(0.75, 0.001));
    }

    /** A node that takes over doesn't know whom it has lost beside the owner. */
    @Test
    void confirmsOnlyNodesThatAnswer() {
        nodes.lost.add("far-1");
        nodes.silent.add("far-2");
        assertThat(reachability.confirmedShare(), closeTo(0.5, 0.001));
        assertThat(nodes.called, containsInAnyOrder("near", "far-2"));
    }

    private void advance(long millis, boolean granting) {
        for (long passed = 0; passed < millis; passed += CHECK_PERIOD_MILLIS) {
            if (granting) {
                reachability.recordGrant();
            }
            timers.advance(CHECK_PERIOD_MILLIS);
            reachability.check();
        }
    }

    /** Four nodes in two data centres, which answer at once unless they are silent. */
    private static final class FakeNodes implements NodeCalls {
        private final List<String> called = new ArrayList<>();
        private final Set<String> lost = new HashSet<>();
        private final Set<String> silent = new HashSet<>();

        @Override
        public Stream<KnownNode> nodes() {
            return Stream.of("own", "near", "far-1", "far-2")
                    .map(id -> new KnownNode(
                            new PeerAddress(id, "127.0.0.1", 1),
                            1,
                            id.startsWith("far") ? "far" : "near",
                            false,
                            Optional.empty(),
                            1));
        }

        @Override
        public boolean isReachable(String nodeId) {
            return !lost.contains(nodeId);
        }

        @Override
        public void call(String nodeId, Frame message, long timeoutMillis, Consumer<Optional<Answer>> onResult) {
            called.add(nodeId);
            onResult.accept(silent.contains(nodeId) ? Optional.empty() : Optional.of(Answer.getDefaultInstance()));
        }
    }
}
