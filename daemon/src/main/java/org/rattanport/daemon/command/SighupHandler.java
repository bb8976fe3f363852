package org.rattanport.daemon.command;

import java.util.Optional;
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
    private static final Object LOCK = new Object();

    private static Optional<Runnable> sAction = Optional.empty();
    private static boolean sIsPending;

    private SighupHandler() {}

    /** Keeps the signal from ending the process; one that comes now waits for the action. */
    public static void install() {
        try {
            Signal.handle(new Signal(SIGNAL_NAME), signal -> receive());
        } catch (IllegalArgumentException e) {
            LOGGER.infof(
                    "signal %s is not available on this platform: %s", SIGNAL_NAME, e.getMessage());
        }
    }

    /** Runs the action in a task of its own each time the process receives the signal. */
    public static void register(Runnable action) {
        synchronized (LOCK) {
            sAction = Optional.of(action);
            if (sIsPending) {
                sIsPending = false;
                receive();
            }
        }
    }

    private static void receive() {
        synchronized (LOCK) {
            sIsPending = sAction.isEmpty();
            sAction.ifPresent(action -> Tasks.start("reload-settings", action));
        }
    }
}
