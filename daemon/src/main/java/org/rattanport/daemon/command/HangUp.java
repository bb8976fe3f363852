package org.rattanport.daemon.command;

import org.jboss.logging.Logger;
import org.rattanport.kernel.task.Tasks;
import sun.misc.Signal;

/** Takes the signal that says that settings changed, which would end the process otherwise. */
public final class HangUp {
    private static final Logger LOGGER = Logger.getLogger(HangUp.class);
    private static final String SIGNAL = "HUP";

    private HangUp() {}

    /** Runs the action on a task of its own each time the signal comes. */
    public static void onSignal(Runnable action) {
        try {
            Signal.handle(new Signal(SIGNAL), signal -> Tasks.start("reload-settings", action));
        } catch (IllegalArgumentException e) {
            LOGGER.infof("this platform has no signal %s: %s", SIGNAL, e.getMessage());
        }
    }
}
