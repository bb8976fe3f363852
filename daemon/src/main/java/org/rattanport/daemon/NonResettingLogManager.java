package org.rattanport.daemon;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers open while the process stops. The default log manager closes all handlers
 * in a shutdown hook, so the lines of a graceful stop would be lost.
 */
public final class NonResettingLogManager extends LogManager {
    /** {@link LogManager} creates the instance by reflection, with this constructor. */
    public NonResettingLogManager() {}

    /** Does nothing: {@link Logging#close} ends the log, after the last line. */
    @Override
    public void reset() {}
}
