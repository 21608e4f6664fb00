package org.sardineshunt.standin;

/**
 * Faults of a backend server stand-in.
 *
 * @param errorShare share of requests, between 0 and 1, that are answered with status 500
 * @param latencyFactor factor on the service time
 * @param hang whether requests are never answered
 * @param flapMillis period in which the faults are on and off by turns; 0 means always on
 * @param crashText a request whose path contains it crashes the server; empty for none
 * @param healthLies whether the health endpoint says healthy whatever happens
 */
public record ServerFaults(
        double errorShare, double latencyFactor, boolean hang, long flapMillis, String crashText, boolean healthLies) {
    /** No faults. */
    public static final ServerFaults NONE = new ServerFaults(0, 1, false, 0, "", false);

    /** Returns faults that answer a share of requests with an error. */
    public static ServerFaults errors(double share) {
        return new ServerFaults(share, 1, false, 0, "", false);
    }

    /** Returns faults that multiply the service time. */
    public static ServerFaults slow(double factor) {
        return new ServerFaults(0, factor, false, 0, "", false);
    }

    /** Returns these faults, on and off by turns. */
    public ServerFaults flapping(long periodMillis) {
        return new ServerFaults(errorShare, latencyFactor, hang, periodMillis, crashText, healthLies);
    }

    /** Returns these faults with a text that crashes the server. */
    public ServerFaults crashingOn(String text) {
        return new ServerFaults(errorShare, latencyFactor, hang, flapMillis, text, healthLies);
    }

    ServerFaults activeAt(long nowMillis) {
        boolean off = flapMillis > 0 && nowMillis / flapMillis % 2 == 1;
        return off ? new ServerFaults(0, 1, false, 0, crashText, healthLies) : this;
    }
}
