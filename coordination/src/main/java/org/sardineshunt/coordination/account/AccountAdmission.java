package org.sardineshunt.coordination.account;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.TimerService;

/**
 * Admits requests of client accounts at the node where they enter: each takes a token that the account's owner granted.
 * A busy account's tokens are asked for in advance. A request that finds none waits for a short time. Not thread-safe.
 */
public final class AccountAdmission {
    private static final long MAXIMUM_WAIT_MILLIS = 150;

    // An account that sends far more than its limit must not cause a message for each of its requests.
    private static final long PAUSE_AFTER_REFUSAL_MILLIS = 40;

    // An answer that is later finds its requests refused.
    private static final long ANSWER_TIMEOUT_MILLIS = 200;

    // A silent owner counts as lost after 900 ms, and then another node grants. Callers lost requests that were refused
    // before that.
    private static final long MAXIMUM_WAIT_FOR_SILENT_OWNER_MILLIS = 1_200;

    private static final long UNREACHABLE_RETRY_AFTER_MILLIS = 500;

    private final TimerService timers;
    private final Supplier<ClockReading> clock;
    private final TokenSource source;
    private final Map<String, State> states = new HashMap<>();

    /** Creates an admission without tokens. */
    public AccountAdmission(TimerService timers, Supplier<ClockReading> clock, TokenSource source) {
        this.timers = timers;
        this.clock = clock;
        this.source = source;
    }

    /**
     * Admits or refuses a request of an account.
     *
     * @param onDecision receives the decision, before this method returns if the node has a token
     */
    public void admit(ClientAccount account, Consumer<Decision> onDecision) {
        if (!account.isLimited()) {
            onDecision.accept(Decision.ADMITTED);
            return;
        }
        State state = states.computeIfAbsent(account.name(), name -> new State());
        state.apply(account);
        ClockReading now = clock.get();
        state.wallet.recordDemand(now);
        if (state.waiting.isEmpty() && state.wallet.tryTake(now)) {
            onDecision.accept(Decision.ADMITTED);
            requestTokens(state);
            return;
        }
        boolean refusedForLong = state.refusedUntilMillis - now.monotonicMillis() > MAXIMUM_WAIT_MILLIS;
        double grantable = account.burst() + account.requestsPerSecond() * MAXIMUM_WAIT_MILLIS / 1_000;
        if (refusedForLong || state.waiting.size() > grantable) {
            onDecision.accept(limitReached(state, now));
            return;
        }
        Waiting waiting = new Waiting(now.monotonicMillis(), onDecision);
        state.waiting.add(waiting);
        timers.after(MAXIMUM_WAIT_MILLIS, () -> refuseIfWaiting(state, waiting));
        requestTokens(state);
    }

    private void requestTokens(State state) {
        ClockReading now = clock.get();
        if (state.requestPending) {
            return;
        }
        long pauseMillis = state.nextRequestMillis - now.monotonicMillis();
        if (pauseMillis > 0) {
            if (!state.waiting.isEmpty() && !state.retryScheduled) {
                state.retryScheduled = true;
                timers.after(pauseMillis, () -> {
                    state.retryScheduled = false;
                    requestTokens(state);
                });
            }
            return;
        }
        boolean inAdvance = !source.isLocal(state.account.name());
        int tokens = state.wallet.tokensToRequest(now, state.waiting.size(), inAdvance);
        if (tokens <= 0) {
            return;
        }
        state.requestPending = true;
        long request = ++state.lastRequest;
        TimerService.Timer timeout =
                timers.after(ANSWER_TIMEOUT_MILLIS, () -> handleAnswer(state, request, now, Optional.empty()));
        source.request(state.account, tokens, answer -> {
            timeout.cancel();
            handleAnswer(state, request, now, answer);
        });
    }

    private void handleAnswer(State state, long request, ClockReading askedAt, Optional<TokenGrant> answer) {
        ClockReading now = clock.get();
        if (request >= state.firstValidRequest) {
            answer.ifPresent(grant -> state.wallet.add(askedAt, grant.tokens()));
        }
        if (request == state.lastRequest) {
            state.requestPending = false;
            state.answered = answer.isPresent();
        }
        while (!state.waiting.isEmpty() && state.wallet.tryTake(now)) {
            state.waiting.poll().onDecision().accept(Decision.ADMITTED);
        }
        long ownerWaitMillis = answer.map(TokenGrant::waitMillis).orElse(0L);
        if (ownerWaitMillis > 0 || answer.isEmpty()) {
            state.nextRequestMillis = now.monotonicMillis() + Math.max(PAUSE_AFTER_REFUSAL_MILLIS, ownerWaitMillis);
        }
        if (ownerWaitMillis > 0) {
            state.refusedUntilMillis = now.monotonicMillis() + ownerWaitMillis;
            refuseHopeless(state, now, ownerWaitMillis);
        }
        requestTokens(state);
    }

    // Requests that the owner has no token for before their time ends are refused at once.
    private void refuseHopeless(State state, ClockReading now, long ownerWaitMillis) {
        List<Waiting> hopeless = state.waiting.stream()
                .filter(waiting ->
                        now.monotonicMillis() + ownerWaitMillis > waiting.sinceMillis() + MAXIMUM_WAIT_MILLIS)
                .toList();
        state.waiting.removeAll(hopeless);
        hopeless.forEach(waiting -> waiting.onDecision().accept(limitReached(state, now)));
    }

    private void refuseIfWaiting(State state, Waiting waiting) {
        if (!state.waiting.contains(waiting)) {
            return;
        }
        ClockReading now = clock.get();
        if (!state.answered && now.monotonicMillis() - waiting.sinceMillis() < MAXIMUM_WAIT_FOR_SILENT_OWNER_MILLIS) {
            timers.after(MAXIMUM_WAIT_MILLIS, () -> refuseIfWaiting(state, waiting));
            return;
        }
        state.waiting.remove(waiting);
        waiting.onDecision().accept(state.answered ? limitReached(state, now) : ownerUnreachable(state, now));
    }

    private static Decision ownerUnreachable(State state, ClockReading now) {
        return new Decision(
                Optional.of(Reason.ACCOUNT_OWNER_UNREACHABLE),
                UNREACHABLE_RETRY_AFTER_MILLIS,
                state.wallet.balance(now),
                state.wallet.millisSinceAsked(now));
    }

    private static Decision limitReached(State state, ClockReading now) {
        long tokenMillis = (long) Math.ceil(1_000 / state.account.requestsPerSecond());
        return new Decision(
                Optional.of(Reason.ACCOUNT_LIMIT),
                Math.max(tokenMillis, state.refusedUntilMillis - now.monotonicMillis()),
                state.wallet.balance(now),
                state.wallet.millisSinceAsked(now));
    }

    /**
     * The decision on a request.
     *
     * @param refusal why it was refused; empty if it was admitted
     * @param retryAfterMillis time after which the limit allows a request again; 0 if it was admitted
     * @param tokensLeft tokens of the account that this node has
     * @param grantAgeMillis time since this node asked for the tokens that it received last
     */
    public record Decision(Optional<Reason> refusal, long retryAfterMillis, int tokensLeft, long grantAgeMillis) {
        private static final Decision ADMITTED = new Decision(Optional.empty(), 0, 0, 0);
    }

    /** Asks the owners of accounts for tokens. */
    public interface TokenSource {
        /** Returns whether this node owns an account, so that asking takes no time. */
        boolean isLocal(String account);

        /**
         * Asks for tokens.
         *
         * @param onAnswer receives the owner's answer, or empty if there is none, once
         */
        void request(ClientAccount account, int tokens, Consumer<Optional<TokenGrant>> onAnswer);
    }

    private record Waiting(long sinceMillis, Consumer<Decision> onDecision) {}

    /** The requests of one account at this node. */
    private static final class State {
        private final TokenWallet wallet = new TokenWallet();
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        private ClientAccount account;
        private boolean requestPending;
        private boolean retryScheduled;
        private boolean answered;
        private long lastRequest;
        private long firstValidRequest;
        private long nextRequestMillis = Long.MIN_VALUE / 2;
        private long refusedUntilMillis = Long.MIN_VALUE / 2;

        // Tokens that were granted or asked for under other limits are not used.
        private void apply(ClientAccount newAccount) {
            boolean limitsChanged = account != null
                    && (account.requestsPerSecond() != newAccount.requestsPerSecond()
                            || account.burst() != newAccount.burst());
            account = newAccount;
            if (limitsChanged) {
                wallet.clear();
                firstValidRequest = lastRequest + 1;
                refusedUntilMillis = Long.MIN_VALUE / 2;
            }
        }
    }
}
