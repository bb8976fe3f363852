package org.rattanport.decisions.gateway.discovery;

import org.jboss.logging.Logger;
import org.rattanport.kernel.event.LogLine;

/**
 * A dependency of this instance; logs once when it becomes unavailable and once when it is back.
 */
final class Dependency {
    private static final Logger LOGGER = Logger.getLogger(Dependency.class);

    private final String mName;
    private boolean mIsLost;
    private boolean mHasResponded;

    Dependency(String name) {
        mName = name;
    }

    void markLost(String reason) {
        if (!mIsLost) {
            mIsLost = true;
            LOGGER.warn(LogLine.of("dependency-lost").with("name", mName).with("reason", reason));
        }
    }

    /** Records a failure; returns whether it is the first one after a response. */
    boolean recordFailure() {
        boolean isFirst = mHasResponded;
        mHasResponded = false;
        return isFirst;
    }

    void markAvailable() {
        mHasResponded = true;
        if (mIsLost) {
            mIsLost = false;
            LOGGER.info(LogLine.of("dependency-regained").with("name", mName));
        }
    }
}
