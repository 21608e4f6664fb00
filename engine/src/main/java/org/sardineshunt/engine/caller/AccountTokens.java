package org.sardineshunt.engine.caller;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.TimerService;
import org.sardineshunt.coordination.account.AccountAdmission;
import org.sardineshunt.coordination.account.AccountOwnership;
import org.sardineshunt.coordination.account.ClientAccount;
import org.sardineshunt.coordination.account.LimitBounds;
import org.sardineshunt.coordination.account.TokenBucketOwner;
import org.sardineshunt.coordination.account.TokenGrant;
import org.sardineshunt.coordination.route.FleetConfiguration;
import org.sardineshunt.engine.EventLog;
import org.sardineshunt.engine.peer.KnownNode;
import org.sardineshunt.engine.platform.ConfigurationTracker;
import org.sardineshunt.engine.protocol.EngineMessages.Answer;
import org.sardineshunt.engine.protocol.EngineMessages.Frame;
import org.sardineshunt.engine.protocol.EngineMessages.TokenRequest;

/**
 * Asks the owners of client accounts for tokens, and grants those of the accounts that this node owns. Confined to the
 * control thread.
 */
public final class AccountTokens implements AccountAdmission.TokenSource {
    // So long that a link which brings no answer is recognised as lost.
    private static final long CALL_TIMEOUT_MILLIS = 1_500;

    private static final long RELAY_TIMEOUT_MILLIS = 300;
    private static final long RELAY_PAUSE_MILLIS = 1_000;

    private final TimerService timers;
    private final String ownId;
    private final NodeCalls nodes;
    private final EventLog log;
    private final ConfigurationTracker configuration;
    private final AccountOwnership ownership;
    private final TokenBucketOwner owner;
    private final OwnerReachability reachability;
    private final Map<String, Long> noRelayUntilMillis = new HashMap<>();
    private final Set<String> takenOver = new HashSet<>();

    /** Creates a source whose node owns no account yet. */
    public AccountTokens(
            TimerService timers,
            String ownId,
            NodeCalls nodes,
            EventLog log,
            ConfigurationTracker configuration,
            LimitBounds bounds,
            Random random) {
        this.timers = timers;
        this.ownId = ownId;
        this.nodes = nodes;
        this.log = log;
        this.configuration = configuration;
        ownership = new AccountOwnership(ownId);
        owner = new TokenBucketOwner(timers.nowMillis(), bounds);
        reachability = new OwnerReachability(timers, ownId, nodes, random);
    }

    /** Starts to watch which accounts this node owns. */
    public void start() {
        timers.every(TokenBucketOwner.TICK_PERIOD_MILLIS, this::tick);
    }

    /** Takes over the nodes of the directory. */
    public void handleDirectoryChange() {
        // After a start this node's own row comes seconds later, while others ask it already.
        Stream<String> others = nodes.nodes()
                .filter(node -> node.protocolLevel() > 0)
                .map(node -> node.address().nodeId());
        ownership.setCandidates(
                Stream.concat(Stream.of(ownId), others).distinct().sorted().toList());
    }

    @Override
    public boolean isLocal(String account) {
        return ownership.owner(account, nodes::isReachable).equals(ownId);
    }

    @Override
    public void request(ClientAccount account, int tokens, Consumer<Optional<TokenGrant>> onAnswer) {
        String ownerId = ownership.owner(account.name(), nodes::isReachable);
        if (ownerId.equals(ownId)) {
            grant(account, tokens, answer -> onAnswer.accept(toGrant(answer)));
        } else {
            nodes.call(
                    ownerId,
                    toFrame(account.name(), tokens),
                    CALL_TIMEOUT_MILLIS,
                    answer -> onAnswer.accept(answer.flatMap(AccountTokens::toGrant)));
        }
    }

    /** Answers a request of another node. */
    public void handle(String senderId, TokenRequest request, Consumer<Answer> onAnswer) {
        reachability.recordHeard(senderId);
        configuration.recordPeerVersion(senderId, request.getConfigurationVersion());
        if (request.getTokens() == 0) {
            onAnswer.accept(answer(Reason.NONE));
            return;
        }
        String name = request.getAccount();
        Optional<ClientAccount> account = configuration
                .current()
                .flatMap(FleetConfiguration::accounts)
                .flatMap(accounts -> accounts.find(name))
                .filter(ClientAccount::isLimited);
        Optional<String> ownerId = ownership.ownerFor(senderId, name, nodes::isReachable);
        if (account.isEmpty() || ownerId.isEmpty()) {
            onAnswer.accept(answer(account.isEmpty() ? Reason.CONFIGURATION_UNCONFIRMED : Reason.NODE_UNREACHABLE));
        } else if (ownerId.get().equals(ownId)) {
            grant(account.get(), request.getTokens(), onAnswer);
        } else {
            nodes.call(
                    ownerId.get(),
                    toFrame(name, request.getTokens()),
                    CALL_TIMEOUT_MILLIS,
                    answer -> onAnswer.accept(answer.orElse(answer(Reason.NODE_UNREACHABLE))));
        }
    }

    private void grant(ClientAccount account, int tokens, Consumer<Answer> onAnswer) {
        Optional<KnownNode> lostOwner = lostOwner(account.name());
        if (lostOwner.isEmpty()) {
            onAnswer.accept(grant(account, tokens, reachability.share()));
            return;
        }
        Optional<String> relay = relay(account.name(), lostOwner.get());
        if (relay.isEmpty()) {
            onAnswer.accept(grantInstead(lostOwner.get(), account, tokens));
            return;
        }
        // Another node may still reach the owner; then there is no second one.
        nodes.call(relay.get(), toFrame(account.name(), tokens), RELAY_TIMEOUT_MILLIS, answer -> {
            Optional<Answer> granted =
                    answer.filter(received -> received.getReason().equals(Reason.NONE.label()));
            if (granted.isEmpty()) {
                noRelayUntilMillis.put(account.name(), timers.nowMillis() + RELAY_PAUSE_MILLIS);
            }
            onAnswer.accept(granted.orElseGet(() -> grantInstead(lostOwner.get(), account, tokens)));
        });
    }

    private Answer grantInstead(KnownNode lostOwner, ClientAccount account, int tokens) {
        double share = reachability.confirmedShare();
        if (takenOver.add(account.name())) {
            log.event("account-taken-over")
                    .with("account", account.name())
                    .with("owner", lostOwner.address().nodeId())
                    .with("sharePermille", Math.round(1_000 * share))
                    .write();
        }
        return grant(account, tokens, share);
    }

    private Answer grant(ClientAccount account, int tokens, double reachableShare) {
        reachability.recordGrant();
        TokenGrant grant = owner.grant(timers.nowMillis(), account, reachableShare, tokens);
        return Answer.newBuilder()
                .setReason(Reason.NONE.label())
                .setGrantedTokens(grant.tokens())
                .setTokenWaitMillis((int) grant.waitMillis())
                .build();
    }

    private Optional<KnownNode> lostOwner(String account) {
        List<String> earlier = ownership.earlierNodes(account);
        return earlier.isEmpty()
                ? Optional.empty()
                : nodes.nodes()
                        .filter(node -> earlier.contains(node.address().nodeId()))
                        .filter(node -> !nodes.isReachable(node.address().nodeId()))
                        .findFirst();
    }

    // A node beside the lost owner, or else any.
    private Optional<String> relay(String account, KnownNode lostOwner) {
        if (timers.nowMillis() < noRelayUntilMillis.getOrDefault(account, Long.MIN_VALUE)) {
            return Optional.empty();
        }
        List<KnownNode> candidates = nodes.nodes()
                .filter(node -> node.protocolLevel() > 0)
                .filter(node -> !node.address().nodeId().equals(ownId))
                .filter(node -> nodes.isReachable(node.address().nodeId()))
                .toList();
        return candidates.stream()
                .filter(node -> node.dataCentre().equals(lostOwner.dataCentre()))
                .findFirst()
                .or(() -> candidates.stream().findFirst())
                .map(node -> node.address().nodeId());
    }

    private void tick() {
        owner.tick(timers.nowMillis());
        owner.keepOnly(this::isLocal);
        takenOver.removeIf(account -> !isLocal(account) || lostOwner(account).isEmpty());
        reachability.check();
    }

    private Frame toFrame(String account, int tokens) {
        return Frame.newBuilder()
                .setTokenRequest(TokenRequest.newBuilder()
                        .setAccount(account)
                        .setTokens(tokens)
                        .setConfigurationVersion(configuration.version()))
                .build();
    }

    private static Optional<TokenGrant> toGrant(Answer answer) {
        return answer.getReason().equals(Reason.NONE.label())
                ? Optional.of(new TokenGrant(answer.getGrantedTokens(), answer.getTokenWaitMillis()))
                : Optional.empty();
    }

    private static Answer answer(Reason reason) {
        return Answer.newBuilder().setReason(reason.label()).build();
    }
}
