package org.sardineshunt.standin;

/**
 * Faults of the platform stand-in.
 *
 * @param outage whether all requests are answered with status 503
 * @param delayMillis delay before each answer
 * @param loseWriteAnswers number of coming writes that take effect but are answered with status 504
 */
public record PlatformFaults(boolean outage, long delayMillis, int loseWriteAnswers) {
    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);

    PlatformFaults withOneLostAnswer() {
        return new PlatformFaults(outage, delayMillis, loseWriteAnswers - 1);
    }
}
