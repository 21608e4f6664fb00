package org.sardineshunt.coordination;

import java.util.Arrays;
import java.util.Map;
import java.util.stream.Collectors;

/** Why a request was refused, retried or left unresolved. Answers, logs and metrics carry its label. */
public enum Reason {
    /** The request was not refused and did not fail. */
    NONE("none", 200),
    /** The request is not valid HTTP or names an unknown rank. */
    MALFORMED_REQUEST("malformed-request", 400),
    /** No route matches the method and path. */
    NO_ROUTE("no-route", 404),
    /** The route requires an idempotency key and the request has none. */
    KEY_REQUIRED("key-required", 400),
    /** The idempotency key was used before for a different request. */
    KEY_REUSED("key-reused", 422),
    /** The key is not a ticket, or its issuer never issued it. */
    TICKET_UNKNOWN("ticket-unknown", 400),
    /** The outcome of an earlier request with this key is unknown, so the request may have run. */
    KEY_OUTCOME_UNKNOWN("key-outcome-unknown", 409),
    /** The node that knows the key's outcome can't be reached or is handing its outcomes over. */
    KEY_AUTHORITY_UNREACHABLE("key-authority-unreachable", 503),
    /** The node holds as many outcomes of keys as it can keep. */
    KEY_CAPACITY("key-capacity", 503),
    /** The platform's table service is unavailable, so the key can't be claimed. */
    PLATFORM_UNAVAILABLE("platform-unavailable", 503),
    /** The node receives more new keys than it may claim at the table service. */
    CLAIM_LIMIT("claim-limit", 503),
    /** The client account sends more requests than it may. */
    ACCOUNT_LIMIT("account-limit", 429),
    /** The node that grants tokens of the client account did not answer. */
    ACCOUNT_OWNER_UNREACHABLE("account-owner-unreachable", 503),
    /** The request has no key, or one that belongs to no client account, and the route isn't public. */
    KEY_UNKNOWN("key-unknown", 401),
    /** The key was removed from the client account after the entry had accepted the request. */
    KEY_REVOKED("key-revoked", 401),
    /** The request would be refused, but the node can't confirm that its configuration is the newest. */
    CONFIGURATION_UNCONFIRMED("configuration-unconfirmed", 503),
    /** The request has no key, and the request that it claims to be a call of doesn't run here or made too many calls. */
    PARENT_NOT_RUNNING("parent-not-running", 503),
    /** The node can't serve requests yet. */
    NOT_READY("not-ready", 503),
    /** The node is stopping. */
    SHUTTING_DOWN("shutting-down", 503),
    /** No upstream serves the service. */
    NO_UPSTREAM("no-upstream", 503),
    /** The queue of the request's rank is full. */
    QUEUE_FULL("queue-full", 503),
    /** The request is not expected to finish before its deadline. */
    DEADLINE_SLACK("deadline-slack", 503),
    /** The deadline of the request has passed. */
    DEADLINE_PASSED("deadline-passed", 504),
    /** The upstream finishes its running requests and takes no new ones. */
    DRAINING("draining", 503),
    /** The upstream is out of rotation and takes no new requests. */
    OUT_OF_ROTATION("out-of-rotation", 503),
    /** The entry node abandoned the attempt. */
    ABANDONED("abandoned", 503),
    /** The home node already received an attempt with this id. */
    DUPLICATE_ATTEMPT("duplicate-attempt", 503),
    /** The attempt arrived so late that the home node may have forgotten an earlier arrival and its outcome. */
    LATE_ATTEMPT("late-attempt", 502),
    /** The request crashed too many upstreams. */
    CRASHING_REQUEST("crashing-request", 503),
    /** The request is suspected of crashing upstreams, and no upstream is free to run it in isolation. */
    SUSPECT_ISOLATION("suspect-isolation", 503),
    /** The retry budget is exhausted. */
    RETRY_BUDGET("retry-budget", 503),
    /** The home node could not be reached, so the attempt was not sent. */
    NODE_UNREACHABLE("node-unreachable", 503),
    /** The link to the home node was lost after the attempt was sent, or that node has restarted since. */
    LINK_LOST("link-lost", 502),
    /** The backend server refused the connection or the request. */
    BACKEND_SERVER_REFUSED("backend-server-refused", 503),
    /** The backend server shed the request because of overload. */
    BACKEND_SERVER_SHED("backend-server-shed", 503),
    /** The connection to the backend server failed after the request was sent. */
    BACKEND_SERVER_FAILED("backend-server-failed", 502),
    /** The answer of the backend server was cut off. */
    ANSWER_CUT("answer-cut", 502),
    /** The answer is malformed or can't be attributed to this request. */
    ANSWER_CROSSED("answer-crossed", 502),
    /** The answer exceeds the size limit. */
    ANSWER_TOO_LARGE("answer-too-large", 502),
    /** The caller stopped sending the body of the request. */
    BODY_INCOMPLETE("body-incomplete", 408),
    /** The memory for buffered bodies and responses is short. */
    MEMORY_SHORT("memory-short", 503),
    /** The backend server answered with a status of 500 or above. */
    SERVER_ERROR("server-error", 502),
    /** Another node gave a reason that this version doesn't know. */
    UNKNOWN("unknown", 502);

    private static final Map<String, Reason> BY_LABEL =
            Arrays.stream(values()).collect(Collectors.toUnmodifiableMap(Reason::label, reason -> reason));

    private final String label;
    private final int httpStatus;

    Reason(String label, int httpStatus) {
        this.label = label;
        this.httpStatus = httpStatus;
    }

    /** Returns the name used in answers, logs and metrics. */
    public String label() {
        return label;
    }

    /** Returns the HTTP status that a caller receives when its request ends with this reason. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the reason with the given label; {@link #UNKNOWN} if there is none, as from a node of a later version. */
    public static Reason ofPeerLabel(String label) {
        return BY_LABEL.getOrDefault(label, UNKNOWN);
    }

    /**
     * Returns the reason with the given label.
     *
     * @throws IllegalArgumentException if no reason has this label
     */
    public static Reason ofLabel(String label) {
        Reason reason = BY_LABEL.get(label);
        if (reason == null) {
            throw new IllegalArgumentException("unknown reason label '" + label + "'");
        }
        return reason;
    }
}
