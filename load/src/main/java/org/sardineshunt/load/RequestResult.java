package org.sardineshunt.load;

import org.sardineshunt.load.LoadPlan.Arrival;

/**
 * How a request of the plan ended for its caller. Immutable.
 *
 * @param arrival the planned request
 * @param workId unique id of the request
 * @param latencyMillis time from its planned send to its end
 * @param verdict verdict of the last send
 * @param reason reason of the last send
 * @param status HTTP status of the last send; 0 when there was no complete answer
 * @param sends how often the caller sent the request
 * @param check result of the check of the last answer
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
    /** Returns whether the request ran and its caller has the complete answer to it. */
    boolean served() {
        return verdict.equals("ran") && status < 400 && check == Check.WHOLE_AND_OWN;
    }

    /** Returns whether the request was served within the target of its kind. */
    boolean inTime() {
        return served() && latencyMillis <= arrival.kind().target().millis();
    }

    /** Result of the check of an answer. */
    enum Check {
        /** The answer is whole and belongs to the request. */
        WHOLE_AND_OWN,
        /** The answer is truncated: the connection ended early or the body is no valid JSON. */
        CUT,
        /** The answer belongs to another request. */
        WRONG_OWNER,
        /** There was no answer, or one without content to check, such as a refusal. */
        NO_CONTENT
    }
}
