package org.sardineshunt.standin;

/**
 * Faults that the platform stand-in simulates. Component names are the keys of the JSON body of {@code POST /faults}.
 *
 * @param outage whether all requests are answered with status 503
 * @param delayMillis delay before each answer in milliseconds
 * @param loseWriteAnswers number of next table transactions that are answered with status 504 after they were applied
 */
public record PlatformFaults(boolean outage, long delayMillis, int loseWriteAnswers) {
    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);

    PlatformFaults withOneLostAnswer() {
        return new PlatformFaults(outage, delayMillis, loseWriteAnswers - 1);
    }
}
