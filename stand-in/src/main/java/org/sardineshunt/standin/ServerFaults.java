package org.sardineshunt.standin;

/**
 * Faults that a backend server stand-in simulates. Component names are the keys of the JSON body of
 * {@code POST /control/faults}.
 *
 * @param errorShare share of requests, between 0 and 1, that are answered with status 500
 * @param latencyFactor factor by which the service time is multiplied
 * @param hang whether requests are never answered
 * @param flapMillis milliseconds for which the faults are on and then off, in turns; 0 means always on
 * @param crashText a request whose path contains this text crashes the server; empty means none
 * @param healthLies whether the health endpoint always reports healthy
 */
public record ServerFaults(
        double errorShare, double latencyFactor, boolean hang, long flapMillis, String crashText, boolean healthLies) {
    /** No faults. */
    public static final ServerFaults NONE = new ServerFaults(0, 1, false, 0, "", false);

    /** Returns faults that answer a share of the requests, between 0 and 1, with an error. */
    public static ServerFaults errors(double share) {
        return new ServerFaults(share, 1, false, 0, "", false);
    }

    /** Returns faults that multiply the service time. */
    public static ServerFaults slow(double factor) {
        return new ServerFaults(0, factor, false, 0, "", false);
    }

    /** Returns these faults, on and off in turns for a period each. */
    public ServerFaults flapping(long periodMillis) {
        return new ServerFaults(errorShare, latencyFactor, hang, periodMillis, crashText, healthLies);
    }

    /** Returns these faults with a path text that crashes the server. */
    public ServerFaults crashingOn(String text) {
        return new ServerFaults(errorShare, latencyFactor, hang, flapMillis, text, healthLies);
    }

    /** Returns the faults at a time; in off periods only {@code crashText} and {@code healthLies} remain. */
    ServerFaults activeAt(long nowMillis) {
        boolean off = flapMillis > 0 && nowMillis / flapMillis % 2 == 1;
        return off ? new ServerFaults(0, 1, false, 0, crashText, healthLies) : this;
    }
}
