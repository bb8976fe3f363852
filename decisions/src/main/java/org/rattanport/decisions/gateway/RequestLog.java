package org.rattanport.decisions.gateway;

import org.jboss.logging.Logger;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.AttemptFailure;
import org.rattanport.kernel.gateway.PlacementPostponed;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.UnansweredExchange;
import org.rattanport.kernel.time.TimeSource;

/**
 * Logs ended requests and failed attempts. Failures and late or retried requests are always logged;
 * lines for normal requests are rate-limited, and each reports how many were omitted before it.
 */
public final class RequestLog {
    private static final Logger LOGGER = Logger.getLogger(RequestLog.class);

    /** Limit of lines for normal requests; enough to see typical values. */
    private static final int MAX_NORMAL_LINES_PER_SECOND = 5;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final TimeSource mTime;
    private long mWindowStartNanos;
    private int mLinesInWindow;
    private int mOmittedLines;

    public RequestLog(TimeSource time) {
        mTime = time;
        mWindowStartNanos = time.nanoTime();
    }

    /** Logs a failed attempt at a back end. */
    public void logFailure(AttemptFailure failure) {
        LOGGER.info(
                LogLine.of("attempt-failed")
                        .with("request", failure.attemptId())
                        .with("back_end", failure.backEndId())
                        .with("code", failure.errorCode())
                        .with("verdict", failure.verdict().wireName())
                        .with("has_started", failure.hasResponseStarted())
                        .with("shared_parts", String.join(",", failure.sharedParts()))
                        .with("reason", failure.reason()));
    }

    /** Logs a request that has ended. */
    public void logOutcome(RequestOutcome outcome) {
        if (!outcome.isOnTimeAtFirstAttempt()) {
            LOGGER.info(line(outcome).with("reason", outcome.reason()));
            return;
        }
        int omitted = acquireNormalLine();
        if (omitted >= 0) {
            LOGGER.info(line(outcome).with("like_it_left_out", omitted));
        }
    }

    /** Logs that a prompt waits for its placement; each one does so at most ten times a second. */
    public void logPostponement(PlacementPostponed postponed) {
        LOGGER.info(
                LogLine.of("placement-postponed")
                        .with("request", postponed.attemptId())
                        .with("predicted_first_event_millis", postponed.predictedFirstEventMillis())
                        .with("for_millis", postponed.delayMillis()));
    }

    /** Logs an exchange that ended without a whole response. */
    public void logUnanswered(UnansweredExchange exchange) {
        LOGGER.info(
                LogLine.of("exchange-unanswered")
                        .with("request", exchange.attemptId())
                        .with("state", exchange.state().wireName())
                        .with("cause", exchange.cause().wireName())
                        .with("reason", exchange.reason()));
    }

    /** Returns how many lines were omitted since the last one, or -1 to omit this one. */
    synchronized int acquireNormalLine() {
        long now = mTime.nanoTime();
        if (now - mWindowStartNanos >= NANOS_PER_SECOND) {
            mWindowStartNanos = now;
            mLinesInWindow = 0;
        }
        if (mLinesInWindow >= MAX_NORMAL_LINES_PER_SECOND) {
            mOmittedLines++;
            return -1;
        }
        mLinesInWindow++;
        int omitted = mOmittedLines;
        mOmittedLines = 0;
        return omitted;
    }

    private static LogLine line(RequestOutcome outcome) {
        return LogLine.of("request-ended")
                .with("request", outcome.attemptId())
                .with("outcome", outcome.outcome())
                .with("verdict", outcome.verdict().wireName())
                .with("route", outcome.route())
                .with("service", outcome.service())
                .with("account", outcome.account())
                .with("back_ends", String.join(",", outcome.backEndIds()))
                .with("runs", outcome.possibleRuns())
                .with("status", outcome.status())
                .with("millis", outcome.durationMillis())
                .with("readers", outcome.prefillEngineCount())
                .with("shared_parts", String.join(",", outcome.sharedParts()))
                .with("predicted_first_event_millis", outcome.timing().predictedFirstEventMillis())
                .with("first_event_millis", outcome.timing().firstEventMillis())
                .with("longest_pause_millis", outcome.timing().longestGapMillis())
                .with("is_late", outcome.timing().isLate())
                .with("document", outcome.documentVersion())
                .with("registry", outcome.registryVersion());
    }
}
