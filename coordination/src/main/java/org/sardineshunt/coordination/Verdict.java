package org.sardineshunt.coordination;

import java.util.Optional;

/**
 * States whether the work of a request may have run.
 *
 * <pre>{@code
 * if (verdict.allowsRetry(request.idempotent())) { ... }
 * }</pre>
 */
public enum Verdict {
    /** Proved: no backend server ran the request, and none will run this attempt of it. */
    NOT_RUN("not-run"),
    /** A backend server may have run the request, or may still run it. */
    MAY_HAVE_RUN("may-have-run"),
    /** A backend server ran the request and its complete answer is known. */
    RAN("ran");

    private static final Verdict[] VALUES = values();

    private final String label;

    Verdict(String label) {
        this.label = label;
    }

    /** Returns the verdict with an ordinal; empty if there is none. */
    public static Optional<Verdict> ofOrdinal(int ordinal) {
        return ordinal >= 0 && ordinal < VALUES.length ? Optional.of(VALUES[ordinal]) : Optional.empty();
    }

    /** Returns the name that callers receive. */
    public String label() {
        return label;
    }

    /**
     * Returns whether a further attempt is allowed, that is, can't run non-idempotent work twice. None is allowed after
     * {@link #RAN}, because the answer is known.
     *
     * @param idempotent whether running the request twice is harmless
     */
    public boolean allowsRetry(boolean idempotent) {
        return this == NOT_RUN || this == MAY_HAVE_RUN && idempotent;
    }
}
