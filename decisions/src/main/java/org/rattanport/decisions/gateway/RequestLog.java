package org.rattanport.decisions.gateway;

import org.jboss.logging.Logger;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.time.TimeSource;

/**
 * Writes a line for each request. All that went wrong is written; of what went well, as much as
 * keeps the log within bounds, and the number of lines left out.
 */
public final class RequestLog {
    private static final Logger LOGGER = Logger.getLogger(RequestLog.class);

    /** Lines a second about requests that went well; enough to see what is usual. */
    private static final int USUAL_LINES_PER_SECOND = 5;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final TimeSource mTime;
    private long mSecondNanos;
    private int mWritten;
    private int mLeftOut;

    public RequestLog(TimeSource time) {
        mTime = time;
        mSecondNanos = time.nanoTime();
    }

    /** Writes about something that went wrong. */
    public void unusual(LogLine line) {
        LOGGER.info(line);
    }

    /** Writes about something that went well, within bounds. */
    public void usual(LogLine line) {
        int leftOut;
        synchronized (this) {
            long now = mTime.nanoTime();
            if (now - mSecondNanos >= NANOS_PER_SECOND) {
                mSecondNanos = now;
                mWritten = 0;
            }
            if (mWritten >= USUAL_LINES_PER_SECOND) {
                mLeftOut++;
                return;
            }
            mWritten++;
            leftOut = mLeftOut;
            mLeftOut = 0;
        }
        LOGGER.info(leftOut == 0 ? line : line.with("like_it_left_out", leftOut));
    }
}
