package org.rattanport.daemon;

import java.util.logging.LogManager;

/**
 * Keeps the log open while the process ends. The standard manager closes all logs as soon as the
 * process is told to end, so nothing that happens during a graceful stop would be written.
 */
public final class KeptLogManager extends LogManager {
    /** Has to be made without arguments, by name. */
    public KeptLogManager() {}

    /** Does nothing: {@link Logging#close} ends the log, after the last line. */
    @Override
    public void reset() {}
}
