package org.sardineshunt.node;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.protocol.PeerMessages.Answer;

/** Creates {@link Answer} messages of failures and reads the verdict and reason of any answer. */
public final class Answers {
    private static final Verdict[] VERDICTS = Verdict.values();

    private Answers() {}

    /**
     * Returns an answer without a body that reports a failure. Its status is the one that belongs to the reason.
     *
     * @param detail explanation for callers and logs
     */
    public static Answer failure(Verdict verdict, Reason reason, String detail) {
        return Answer.newBuilder()
                .setVerdict(verdict.ordinal())
                .setReason(reason.label())
                .setDetail(detail)
                .setStatus(reason.httpStatus())
                .build();
    }

    /**
     * Returns the verdict of an answer. One that this version does not know counts as {@link Verdict#MAY_HAVE_RUN}, so
     * that no work runs twice.
     */
    public static Verdict verdict(Answer answer) {
        int ordinal = answer.getVerdict();
        return ordinal >= 0 && ordinal < VERDICTS.length ? VERDICTS[ordinal] : Verdict.MAY_HAVE_RUN;
    }

    /**
     * Returns the reason of an answer, {@link Reason#NONE} if it names none.
     *
     * @throws IllegalArgumentException if no reason has the label that the answer carries
     */
    public static Reason reason(Answer answer) {
        return answer.getReason().isEmpty() ? Reason.NONE : Reason.ofLabel(answer.getReason());
    }
}
