package org.sardineshunt.coordination.membership;

import java.util.List;

/**
 * Membership record of one node. Of several records of a node, the one with the highest incarnation is valid, then the
 * one with the highest version, then the one with the last state. Immutable and thread-safe.
 *
 * @param nodeId unique name of the node
 * @param incarnation number of the start of its process; higher after each restart
 * @param version number that the node increases with each change of its record, and to refute a suspicion
 * @param state liveness of the node
 * @param endpoint address of the node
 * @param location where the node runs
 * @param successor node that keeps the outcomes of its tickets after it left; empty if there is none
 * @param upstreams upstreams of which this node is the home
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
    /** Copies the list of upstreams. */
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

    /** Returns a copy of this record with another state. */
    public Member withState(State newState) {
        return new Member(nodeId, incarnation, version, newState, endpoint, location, successor, upstreams);
    }

    /**
     * Liveness of a node. Of two records with the same version, the one with the later state is valid; other nodes
     * receive the states by ordinal.
     */
    public enum State {
        /** Answers probes. */
        ALIVE,
        /** Missed a probe, and may still refute the suspicion. */
        SUSPECT,
        /** Did not refute a suspicion in time. */
        DEAD,
        /** Announced that it leaves, and stopped. */
        LEFT;

        private static final State[] VALUES = values();

        /** Returns the state with an ordinal, or {@link #SUSPECT} if there is no such state. */
        public static State ofOrdinal(int ordinal) {
            return ordinal >= 0 && ordinal < VALUES.length ? VALUES[ordinal] : SUSPECT;
        }
    }

    /**
     * Address of a node.
     *
     * @param host IP address
     * @param peerPort TCP port of its peer link
     * @param operatorPort TCP port of its operator endpoints
     */
    public record Endpoint(String host, int peerPort, int operatorPort) {}

    /**
     * Location of a node.
     *
     * @param dataCentre name of its data centre
     * @param region name of the data centre's region
     */
    public record Location(String dataCentre, String region) {}
}
