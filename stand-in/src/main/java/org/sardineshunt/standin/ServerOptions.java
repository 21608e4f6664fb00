package org.sardineshunt.standin;

import java.util.Map;

/**
 * How a backend server stand-in behaves.
 *
 * @param id unique name of the upstream
 * @param service service that it serves
 * @param labels labels that operators select by
 * @param port port to listen on; 0 lets the system choose
 * @param homePort operator port of its home node on loopback, where it announces itself
 * @param slots requests that it runs at once
 * @param serviceMillis mean service time
 * @param coldStartMillis time after the start in which requests take three times as long
 * @param announcementPeriodMillis time between announcements
 * @param seed seed of its service times and errors
 */
public record ServerOptions(
        String id,
        String service,
        Map<String, String> labels,
        int port,
        int homePort,
        int slots,
        int serviceMillis,
        long coldStartMillis,
        long announcementPeriodMillis,
        long seed) {
    /** Returns options with four slots, 10 ms, no cold start and an announcement every 300 ms. */
    public static ServerOptions of(String id, String service, int homePort) {
        return new ServerOptions(id, service, Map.of(), 0, homePort, 4, 10, 0, 300, id.hashCode());
    }

    /** Returns these options with other labels. */
    public ServerOptions withLabels(Map<String, String> newLabels) {
        return new ServerOptions(
                id,
                service,
                newLabels,
                port,
                homePort,
                slots,
                serviceMillis,
                coldStartMillis,
                announcementPeriodMillis,
                seed);
    }

    /** Returns these options with other slots and service time. */
    public ServerOptions withCapacity(int newSlots, int newServiceMillis) {
        return new ServerOptions(
                id,
                service,
                labels,
                port,
                homePort,
                newSlots,
                newServiceMillis,
                coldStartMillis,
                announcementPeriodMillis,
                seed);
    }

    /** Returns these options with a cold start. */
    public ServerOptions withColdStart(long newColdStartMillis) {
        return new ServerOptions(
                id,
                service,
                labels,
                port,
                homePort,
                slots,
                serviceMillis,
                newColdStartMillis,
                announcementPeriodMillis,
                seed);
    }
}
