package org.sardineshunt.coordination.account;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The requests that the local upstream is running, which may make calls without a key. Not thread-safe.
 *
 * <pre>{@code
 * requests.start("a17", 0, "shop");
 * boolean accepted = requests.tryAcquireCall("a17");
 * requests.finish("a17");
 * }</pre>
 */
public final class RunningRequests {
    // Bounds what a caller gains that guesses the ID of a running request. Upstreams make far fewer calls.
    private static final int MAXIMUM_CALLS = 32;

    private final Map<String, State> states = new HashMap<>();

    /**
     * Records that a request runs.
     *
     * @param account name of its account; empty if it has none
     */
    public void start(String requestId, int rank, String account) {
        State state = states.computeIfAbsent(requestId, id -> new State());
        state.runs++;
        state.request = new RunningRequest(rank, account);
    }

    /** Records that a request ended. */
    public void finish(String requestId) {
        states.computeIfPresent(requestId, (id, state) -> --state.runs > 0 ? state : null);
    }

    /** Returns a request if it is running. */
    public Optional<RunningRequest> find(String requestId) {
        return Optional.ofNullable(states.get(requestId)).map(state -> state.request);
    }

    /** Takes one of the calls without a key that a running request may make; false if there is none or it has ended. */
    public boolean tryAcquireCall(String requestId) {
        State state = states.get(requestId);
        if (state == null || state.calls >= MAXIMUM_CALLS) {
            return false;
        }
        state.calls++;
        return true;
    }

    /**
     * A request that the local upstream is running.
     *
     * @param rank its rank
     * @param account name of its account; empty if it has none
     */
    public record RunningRequest(int rank, String account) {}

    /** Runs of the requests with one ID; an attempt of the same request may start while an earlier one runs. */
    private static final class State {
        private RunningRequest request;
        private int runs;
        private int calls;
    }
}
