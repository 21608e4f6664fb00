package org.sardineshunt.coordination;

/** Why a request was refused, retried or left unresolved. The label names it in answers, logs and counters. */
public enum Reason {
    NONE("none", 200),
    MALFORMED_REQUEST("malformed-request", 400),
    NO_ROUTE("no-route", 404),
    KEY_REQUIRED("key-required", 400),
    KEY_REUSED("key-reused", 422),
    TICKET_UNKNOWN("ticket-unknown", 400),
    KEY_OUTCOME_UNKNOWN("key-outcome-unknown", 409),
    KEY_AUTHORITY_UNREACHABLE("key-authority-unreachable", 503),
    KEY_CAPACITY("key-capacity", 503),
    PLATFORM_UNAVAILABLE("platform-unavailable", 503),
    CLAIM_LIMIT("claim-limit", 503),
    ACCOUNT_LIMIT("account-limit", 429),
    NOT_READY("not-ready", 503),
    SHUTTING_DOWN("shutting-down", 503),
    NO_UPSTREAM("no-upstream", 503),
    QUEUE_FULL("queue-full", 503),
    DEADLINE_SLACK("deadline-slack", 503),
    DEADLINE_PASSED("deadline-passed", 504),
    DRAINING("draining", 503),
    OUT_OF_ROTATION("out-of-rotation", 503),
    ABANDONED("abandoned", 503),
    DUPLICATE_ATTEMPT("duplicate-attempt", 503),
    CRASHING_REQUEST("crashing-request", 503),
    SUSPECT_ISOLATION("suspect-isolation", 503),
    RETRY_BUDGET("retry-budget", 503),
    NODE_UNREACHABLE("node-unreachable", 503),
    LINK_LOST("link-lost", 502),
    BACKEND_SERVER_REFUSED("backend-server-refused", 503),
    BACKEND_SERVER_SHED("backend-server-shed", 503),
    BACKEND_SERVER_FAILED("backend-server-failed", 502),
    ANSWER_CUT("answer-cut", 502),
    ANSWER_CROSSED("answer-crossed", 502),
    ANSWER_TOO_LARGE("answer-too-large", 502),
    SERVER_ERROR("server-error", 502);

    private final String label;
    private final int httpStatus;

    Reason(String label, int httpStatus) {
        this.label = label;
        this.httpStatus = httpStatus;
    }

    /** Returns the name used in answers, logs and counters. */
    public String label() {
        return label;
    }

    /** Returns the HTTP status that a caller receives when its request ends with this reason. */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the reason with a label.
     *
     * @throws IllegalArgumentException if no reason has it
     */
    public static Reason ofLabel(String label) {
        return java.util.Arrays.stream(values())
                .filter(reason -> reason.label.equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown reason label '" + label + "'"));
    }
}
