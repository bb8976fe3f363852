package org.rattanport.daemon.command;

import org.jboss.logging.Logger;
import org.rattanport.kernel.task.Tasks;
import sun.misc.Signal;

/**
 * Handles SIGHUP, with which operators request that the process reloads its settings. Without a
 * handler, the signal ends the process.
 */
public final class SighupHandler {
    private static final Logger LOGGER = Logger.getLogger(SighupHandler.class);
    private static final String SIGNAL_NAME = "HUP";

    private SighupHandler() {}

    /** Runs the action in a task of its own each time the process receives the signal. */
    public static void register(Runnable action) {
        try {
            Signal.handle(
                    new Signal(SIGNAL_NAME), signal -> Tasks.start("reload-settings", action));
        } catch (IllegalArgumentException e) {
            LOGGER.infof(
                    "signal %s is not available on this platform: %s", SIGNAL_NAME, e.getMessage());
        }
    }
}
