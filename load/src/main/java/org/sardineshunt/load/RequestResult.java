package org.sardineshunt.load;

import org.sardineshunt.load.LoadPlan.Arrival;

/**
 * How a request of the plan ended for its caller.
 *
 * @param arrival the request
 * @param workId its unique id
 * @param latencyMillis time from its planned arrival to its end
 * @param verdict last verdict that the caller saw
 * @param reason last reason that the caller saw
 * @param status last status; 0 when there was no answer
 * @param sends how often the caller sent it
 * @param check what was wrong with the answer
 */
record RequestResult(
        Arrival arrival,
        String workId,
        double latencyMillis,
        String verdict,
        String reason,
        int status,
        int sends,
        Check check) {
    boolean served() {
        return verdict.equals("ran") && status < 400 && check == Check.WHOLE_AND_OWN;
    }

    boolean inTime() {
        return served() && latencyMillis <= arrival.kind().target().millis();
    }

    /** What was wrong with an answer. */
    enum Check {
        WHOLE_AND_OWN,
        CUT,
        WRONG_OWNER,
        NO_CONTENT
    }
}
