package org.sardineshunt.engine.peer;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.engine.protocol.EngineMessages.AnswerHead;
import org.sardineshunt.engine.protocol.EngineMessages.AnswerOrBuilder;
import org.sardineshunt.engine.protocol.EngineMessages.Header;

/**
 * Checks answers before they are used, those of the local home and those of other nodes alike: one that can't be passed
 * on would leave its caller waiting.
 */
public final class AnswerValidator {
    private static final int MINIMUM_STATUS = 200;
    private static final int MAXIMUM_STATUS = 599;

    private AnswerValidator() {}

    /** Returns what makes an answer unusable; empty if it is valid. */
    public static Optional<String> findFault(AnswerOrBuilder answer) {
        Optional<Verdict> verdict = Verdict.ofOrdinal(answer.getVerdict());
        if (verdict.isEmpty()) {
            return Optional.of("unknown verdict " + answer.getVerdict());
        }
        if (verdict.get() != Verdict.RAN) {
            return Optional.empty();
        }
        return findFault(answer.getStatus(), answer.getHeadersList());
    }

    /** Returns what makes the head of a streamed answer unusable; empty if it is valid. */
    public static Optional<String> findFault(AnswerHead head) {
        return findFault(head.getStatus(), head.getHeadersList());
    }

    private static Optional<String> findFault(int status, List<Header> headers) {
        if (status < MINIMUM_STATUS || status > MAXIMUM_STATUS) {
            return Optional.of("status " + status);
        }
        return headers.stream()
                .filter(header -> !isValid(header))
                .findFirst()
                .map(header -> "header '" + header.getName() + "'");
    }

    private static boolean isValid(Header header) {
        return !header.getName().isEmpty()
                && HttpHeaderValidationUtil.validateToken(header.getName()) == -1
                && HttpHeaderValidationUtil.validateValidHeaderValue(header.getValue()) == -1;
    }
}
