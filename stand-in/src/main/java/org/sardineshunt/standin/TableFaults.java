package org.sardineshunt.standin;

/**
 * Faults of the platform stand-in.
 *
 * @param outage whether all requests are answered with status 503
 * @param delayMillis delay before each answer
 * @param loseWriteAnswers number of coming writes that take effect but are answered with status 504
 */
public record TableFaults(boolean outage, long delayMillis, int loseWriteAnswers) {
    /** No faults. */
    public static final TableFaults NONE = new TableFaults(false, 0, 0);

    TableFaults withOneLostAnswer() {
        return new TableFaults(outage, delayMillis, loseWriteAnswers - 1);
    }
}
