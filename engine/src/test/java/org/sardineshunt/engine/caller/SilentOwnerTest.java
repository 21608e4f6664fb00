package org.sardineshunt.engine.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.account.AccountAdmission;
import org.sardineshunt.coordination.account.ClientAccount;
import org.sardineshunt.coordination.account.ClockReading;
import org.sardineshunt.coordination.account.TokenGrant;
import org.sardineshunt.engine.ManualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class SilentOwnerTest {
    private static final ClientAccount ACCOUNT = new ClientAccount("a", OptionalInt.empty(), 10, 10, Set.of());

    private final ManualTimerService timers = new ManualTimerService();
    private final List<Consumer<Optional<TokenGrant>>> asked = new ArrayList<>();
    private final List<Optional<Reason>> decisions = new ArrayList<>();
    private final AccountAdmission admission = new AccountAdmission(
            timers, () -> new ClockReading(timers.nowMillis(), timers.nowMillis()), new RecordingSource());

    /** While the link to an owner was cut but not yet counted as lost, each request of its accounts was refused. */
    @Test
    void waitsForAnotherOwnerWhileTheFirstOneIsSilent() {
        admission.admit(ACCOUNT, decision -> decisions.add(decision.refusal()));
        timers.advance(1_000);
        assertThat(decisions, is(List.of()));
        asked.get(asked.size() - 1).accept(Optional.of(new TokenGrant(1, 0)));
        assertThat(decisions, is(List.of(Optional.empty())));
    }

    /** A request must not wait without end. */
    @Test
    void refusesARequestWhoseOwnersStaySilent() {
        admission.admit(ACCOUNT, decision -> decisions.add(decision.refusal()));
        timers.advance(1_500);
        assertThat(decisions, is(List.of(Optional.of(Reason.ACCOUNT_OWNER_UNREACHABLE))));
    }

    /** A caller over its limit is told at once when to come back. */
    @Test
    void refusesARequestOverTheLimitAtOnce() {
        admission.admit(ACCOUNT, decision -> decisions.add(decision.refusal()));
        asked.get(0).accept(Optional.of(new TokenGrant(0, 400)));
        assertThat(decisions, is(List.of(Optional.of(Reason.ACCOUNT_LIMIT))));
    }

    private final class RecordingSource implements AccountAdmission.TokenSource {
        @Override
        public boolean isLocal(String account) {
            return false;
        }

        @Override
        public void request(ClientAccount account, int tokens, Consumer<Optional<TokenGrant>> onAnswer) {
            asked.add(onAnswer);
        }
    }
}
