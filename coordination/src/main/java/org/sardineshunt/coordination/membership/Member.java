package org.sardineshunt.coordination.membership;

import java.util.List;

/**
 * One node as the fleet knows it. Records are ordered by incarnation, then version, then state: the later one wins.
 *
 * @param nodeId unique name
 * @param incarnation start of the process; a restarted node has a higher one
 * @param version raised by the node itself with each change, and to refute a suspicion
 * @param state whether it is taken to be alive
 * @param endpoint where to reach it
 * @param location where it runs
 * @param successor node that keeps the outcomes of its tickets after it left; empty while there is none
 * @param upstreams what it serves
 */
public record Member(
        String nodeId,
        long incarnation,
        long version,
        State state,
        Endpoint endpoint,
        Location location,
        String successor,
        List<UpstreamInfo> upstreams) {
    /** Copies the list. */
    public Member {
        upstreams = List.copyOf(upstreams);
    }

    /** Returns whether this record replaces another one of the same node. */
    public boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (version != other.version) {
            return version > other.version;
        }
        return state.ordinal() > other.state.ordinal();
    }

    /** Returns whether work may be sent to the node. */
    public boolean isReachable() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    /** Returns this record in another state. */
    public Member withState(State newState) {
        return new Member(nodeId, incarnation, version, newState, endpoint, location, successor, upstreams);
    }

    /** Whether a node is taken to be alive. Later states win over earlier ones of the same version. */
    public enum State {
        ALIVE,
        /** Missed its probes; may still refute. */
        SUSPECT,
        DEAD,
        /** Stopped as planned. */
        LEFT;

        private static final State[] VALUES = values();

        /** Returns the state with an ordinal, or {@link #SUSPECT} for an unknown one. */
        public static State ofOrdinal(int ordinal) {
            return ordinal >= 0 && ordinal < VALUES.length ? VALUES[ordinal] : SUSPECT;
        }
    }

    /**
     * Address of a node.
     *
     * @param host IP number
     * @param peerPort TCP port of its peer link
     * @param operatorPort TCP port of its operator endpoints
     */
    public record Endpoint(String host, int peerPort, int operatorPort) {}

    /**
     * Where a node runs.
     *
     * @param dataCentre its data centre
     * @param region region of the data centre
     */
    public record Location(String dataCentre, String region) {}
}
