package org.sardineshunt.node;

import org.sardineshunt.coordination.Reason;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.protocol.PeerMessages.Answer;

/** Makes and reads {@link Answer} messages. */
public final class Answers {
    private static final Verdict[] VERDICTS = Verdict.values();

    private Answers() {}

    /** Returns an answer without content. */
    public static Answer failure(Verdict verdict, Reason reason, String detail) {
        return Answer.newBuilder()
                .setVerdict(verdict.ordinal())
                .setReason(reason.label())
                .setDetail(detail)
                .setStatus(reason.httpStatus())
                .build();
    }

    /** Returns the verdict of an answer; an unknown one counts as {@link Verdict#MAY_HAVE_RUN}. */
    public static Verdict verdict(Answer answer) {
        int ordinal = answer.getVerdict();
        return ordinal >= 0 && ordinal < VERDICTS.length ? VERDICTS[ordinal] : Verdict.MAY_HAVE_RUN;
    }

    /** Returns the reason of an answer. */
    public static Reason reason(Answer answer) {
        return answer.getReason().isEmpty() ? Reason.NONE : Reason.ofLabel(answer.getReason());
    }
}
