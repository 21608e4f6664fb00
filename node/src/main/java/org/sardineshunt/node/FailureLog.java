package org.sardineshunt.node;

import org.jboss.logging.Logger;
import org.jboss.logging.MDC;
import org.sardineshunt.coordination.Verdict;
import org.sardineshunt.protocol.PeerMessages.RequestContent;

/**
 * Logs failed attempts and requests with their ids. The lines per second are limited, so that a flood of refusals does
 * not flood the log; the metrics count failures without a limit. Confined to the control thread.
 */
public final class FailureLog {
    private static final Logger LOG = Logger.getLogger(FailureLog.class);
    private static final int MAXIMUM_LINES_PER_SECOND = 20;

    private final ControlThread control;
    private long currentSecond;
    private int linesInSecond;

    /** Creates a log that takes its time from the control thread. */
    public FailureLog(ControlThread control) {
        this.control = control;
    }

    /**
     * Logs a failure, unless the limit of lines for the current second is reached.
     *
     * @param content the request; only its id, service and rank are logged
     * @param attemptId the attempt, or an empty text if the request as a whole failed
     * @param reason label of the reason
     * @param detail text of the log line
     */
    public void logFailure(RequestContent content, String attemptId, Verdict verdict, String reason, String detail) {
        long nowSeconds = control.nowMillis() / 1_000;
        linesInSecond = nowSeconds == currentSecond ? linesInSecond + 1 : 1;
        currentSecond = nowSeconds;
        if (linesInSecond > MAXIMUM_LINES_PER_SECOND) {
            return;
        }
        MDC.put("request", content.getRequestId());
        MDC.put("attempt", attemptId);
        MDC.put("service", content.getService());
        MDC.put("rank", content.getRank());
        MDC.put("verdict", verdict.label());
        MDC.put("reason", reason);
        LOG.info(detail);
        MDC.clear();
    }
}
