package org.sardineshunt.coordination.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.sardineshunt.coordination.membership.FailureDetector.Action;
import org.sardineshunt.coordination.membership.Member.State;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class FailureDetectorTest {
    private static final long PERIOD_MILLIS = 1_000;

    private final FailureDetector detector = new FailureDetector(PERIOD_MILLIS, 3, 4, new Random(3));
    private final Map<String, State> states = new HashMap<>();

    FailureDetectorTest() {
        IntStream.range(0, 9).forEach(number -> states.put("n" + number, State.ALIVE));
    }

    @Test
    void silentNodeIsSuspectedAndThenDeclaredDead() {
        long deadAtMillis = runUntilDead("n3", Set.of("n3"), Set.of(), 60);

        assertThat(deadAtMillis, lessThan(25 * PERIOD_MILLIS));
        assertThat(states.values().stream().filter(State.DEAD::equals).count(), is(1L));
    }

    @Test
    void nodeThatAnswersOnlyIndirectProbesIsNotSuspected() {
        runUntilDead("n3", Set.of("n3"), Set.of("n3"), 60);

        assertThat(states.get("n3"), is(State.ALIVE));
    }

    @Test
    void isolatedNodeDeclaresNoOtherNodeDead() {
        runUntilDead("n3", states.keySet(), Set.of(), 120);

        assertThat(states.values().stream().filter(State.DEAD::equals).count(), is(0L));
    }

    private long runUntilDead(String watched, Set<String> silent, Set<String> indirectlyReachable, int periods) {
        for (int period = 0; period < periods; period++) {
            long now = period * PERIOD_MILLIS;
            List<Member> peers = peers();
            for (Action action : detector.tick(now, peers)) {
                perform(action, peers, silent, indirectlyReachable);
            }
            if (states.get(watched) == State.DEAD) {
                return now;
            }
        }
        return Long.MAX_VALUE;
    }

    private void perform(Action action, List<Member> peers, Set<String> silent, Set<String> indirectlyReachable) {
        switch (action.kind()) {
            case PING -> {
                if (!silent.contains(action.nodeId())) {
                    detector.acknowledged(action.nodeId());
                } else if (!detector.directProbeTimedOut(action.nodeId(), peers).isEmpty()
                        && indirectlyReachable.contains(action.nodeId())) {
                    detector.acknowledged(action.nodeId());
                }
            }
            case SUSPECT -> states.put(action.nodeId(), State.SUSPECT);
            case DECLARE_DEAD -> states.put(action.nodeId(), State.DEAD);
            default -> throw new IllegalStateException(action.toString());
        }
    }

    private List<Member> peers() {
        return states.entrySet().stream()
                .filter(entry -> entry.getValue() != State.DEAD)
                .map(entry -> new Member(
                        entry.getKey(),
                        1,
                        1,
                        entry.getValue(),
                        new Member.Endpoint("127.0.0.1", 1, 1),
                        new Member.Location("dc", "region"),
                        "",
                        List.of()))
                .sorted(java.util.Comparator.comparing(Member::nodeId))
                .toList();
    }
}
