package org.sardineshunt.standin;

import java.util.Map;

/**
 * Configuration of a backend server stand-in.
 *
 * @param id unique id of the upstream
 * @param service name of the service that it serves
 * @param labels labels by which the selectors of intents select it
 * @param port port to listen on; 0 lets the system choose
 * @param homePort operator port of its home node on loopback, to which it sends its announcements
 * @param slots number of requests that it runs concurrently
 * @param serviceMillis mean service time in milliseconds
 * @param coldStartMillis milliseconds after the start for which requests take three times as long
 * @param announcementPeriodMillis milliseconds between announcements
 * @param seed seed of its random service times and errors
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
    /** Returns options with four slots, 10 ms service time, no cold start and an announcement every 300 ms. */
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

    /** Returns these options with a cold start of that many milliseconds. */
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
