package org.sardineshunt.engine.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.RendezvousHashing;
import org.sardineshunt.coordination.account.ClientAccount;
import org.sardineshunt.coordination.account.ClockReading;
import org.sardineshunt.coordination.account.LimitBounds;
import org.sardineshunt.coordination.account.TokenGrant;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.ManualTimerService;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.peer.PeerAddress;
import org.sardineshunt.engine.platform.ConfigurationSource;
import org.sardineshunt.engine.platform.ConfigurationTracker;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class AccountTokensTest {
    private static final int BURST = 12;
    private static final FleetConfiguration CONFIGURATION = AccountConfigurations.withAccount(1, 0.001, BURST, "key");
    private static final ClientAccount ACCOUNT = CONFIGURATION
            .accounts()
            .orElseThrow()
            .find(AccountConfigurations.ACCOUNT)
            .orElseThrow();

    private final ManualTimerService timers = new ManualTimerService();
    private int missingInOwnDirectory = -1;
    private final List<String> cutLinks = new ArrayList<>();
    private final List<AccountTokens> tokens =
            IntStream.range(0, 4).mapToObj(this::node).toList();

    // Nodes in the order in which they own the account.
    private final List<Integer> order;

    AccountTokensTest() {
        tokens.forEach(AccountTokens::handleDirectoryChange);
        tokens.forEach(AccountTokens::start);
        List<Integer> names = new ArrayList<>();
        RendezvousHashing.choose(ACCOUNT.name(), List.of("0", "1", "2", "3"), 4)
                .forEach(name -> names.add(Integer.valueOf(name)));
        order = names;
    }

    @Test
    void allNodesTakeTokensFromOneBucket() {
        assertThat(IntStream.range(0, 4).map(index -> takeAll(index)).sum(), is(BURST));
    }

    /** A node that lost its link to the owner once made a second owner with a full bucket. */
    @Test
    void asksTheOwnerThroughAnotherNodeIfOnlyOneLinkIsCut() {
        cut(0, 3);
        // The owner reaches three of the four nodes.
        assertThat(takeAll(order.get(3)), is(BURST * 3 / 4));
        assertThat(takeAll(order.get(0)), is(0));
    }

    /** Two data centres that lost their links while a third one reaches both have one owner. */
    @Test
    void nextOwnerAsksThroughARelayBeforeItTakesOver() {
        cut(0, 1);
        cut(0, 2);
        // The owner reaches itself and the relay.
        assertThat(takeAll(order.get(1)), is(BURST * 2 / 4));
        assertThat(takeAll(order.get(2)) + takeAll(order.get(0)) + takeAll(order.get(3)), is(0));
    }

    /** After a start the own row is read back seconds later, while all others ask this node already. */
    @Test
    void grantsBeforeItsOwnRowIsRead() {
        missingInOwnDirectory = order.get(0);
        tokens.get(order.get(0)).handleDirectoryChange();
        assertThat(takeAll(order.get(3)), is(BURST));
    }

    /** Two halves together must not get more than one bucket. */
    @Test
    void halvesOfAPartitionShareTheBurst() {
        cut(0, 2);
        cut(0, 3);
        cut(1, 2);
        cut(1, 3);
        assertThat(takeAll(order.get(0)), is(BURST / 2));
        timers.advance(10_000);
        assertThat(takeAll(order.get(2)), lessThanOrEqualTo(BURST / 2));
    }

    @Test
    void aNodeOnItsOwnGetsItsShare() {
        IntStream.range(0, 3).forEach(other -> cut(other, 3));
        assertThat(takeAll(order.get(3)), is(BURST / 4));
    }

    private void cut(int first, int second) {
        cutLinks.add(order.get(first) + "-" + order.get(second));
        cutLinks.add(order.get(second) + "-" + order.get(first));
    }

    private int takeAll(int index) {
        List<Optional<TokenGrant>> answers = new ArrayList<>();
        tokens.get(index).request(ACCOUNT, 100, answers::add);
        // The first answer of a survey raises the share of a node that takes over.
        tokens.get(index).request(ACCOUNT, 100, answers::add);
        return answers.stream()
                .flatMap(Optional::stream)
                .mapToInt(TokenGrant::tokens)
                .sum();
    }

    private AccountTokens node(int index) {
        ConfigurationTracker tracker = new ConfigurationTracker(
                timers,
                () -> new ClockReading(timers.nowMillis(), timers.nowMillis()),
                new EventLog("node", line -> {}),
                ConfigurationSource.NONE,
                (nodeId, knownVersion, onReceived) -> {},
                adopted -> {});
        tracker.adopt(CONFIGURATION, new byte[0]);
        return new AccountTokens(
                timers,
                String.valueOf(index),
                new DirectCalls(index),
                new EventLog("node", line -> {}),
                tracker,
                new LimitBounds(5_000, 0.1, 100),
                new Random(index));
    }

    /** Calls from one node, answered at once unless the link is cut. */
    private final class DirectCalls implements NodeCalls {
        private final int index;

        DirectCalls(int index) {
            this.index = index;
        }

        @Override
        public Stream<KnownNode> nodes() {
            return IntStream.range(0, 4)
                    .filter(node -> node != index || index != missingInOwnDirectory)
                    .mapToObj(node -> new KnownNode(
                            new PeerAddress(String.valueOf(node), "127.0.0.1", 1 + node),
                            1,
                            "dc",
                            false,
                            Optional.empty(),
                            1));
        }

        @Override
        public boolean isReachable(String nodeId) {
            return !cutLinks.contains(index + "-" + nodeId);
        }

        @Override
        public void call(String nodeId, Frame message, long timeoutMillis, Consumer<Optional<Answer>> onResult) {
            if (isReachable(nodeId)) {
                tokens.get(Integer.parseInt(nodeId))
                        .handle(
                                String.valueOf(index),
                                message.getTokenRequest(),
                                answer -> onResult.accept(Optional.of(answer)));
            } else {
                onResult.accept(Optional.empty());
            }
        }
    }
}
