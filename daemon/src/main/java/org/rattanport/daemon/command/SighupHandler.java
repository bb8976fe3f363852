package org.rattanport.daemon.command;

import java.util.Optional;
import org.jboss.logging.Logger;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.task.Tasks;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles SIGHUP, with which operators request that the process reloads its settings. Without a
 * handler, the signal ends the process.
 */
public final class SighupHandler {
    private static final Logger LOGGER = Logger.getLogger(SighupHandler.class);
    private static final String SIGNAL_NAME = "HUP";
    private static final Object LOCK = new Object();

    private static Optional<String> sUnavailableReason = Optional.empty();
    private static Optional<Runnable> sAction = Optional.empty();
    private static boolean sIsPending;

    private SighupHandler() {}

    /** Keeps the signal from ending the process; one that comes now waits for the action. */
    public static void install() {
        Optional<String> unavailableReason = handle();
        synchronized (LOCK) {
            sUnavailableReason = unavailableReason;
        }
    }

    private static Optional<String> handle() {
        try {
            SignalHandler previous = Signal.handle(new Signal(SIGNAL_NAME), signal -> receive());
            // The virtual machine leaves a signal ignored that was ignored at its start.
            return previous.equals(SignalHandler.SIG_IGN)
                    ? Optional.of("the process was started with the signal ignored")
                    : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.of(String.valueOf(e.getMessage()));
        }
    }

    /**
     * Runs the action in a task of its own each time the process receives the signal. If it never
     * will, logs the reason.
     */
    public static void register(Runnable action) {
        synchronized (LOCK) {
            sUnavailableReason.ifPresent(
                    reason ->
                            LOGGER.warn(
                                    LogLine.of("reload-signal-unavailable")
                                            .with("signal", SIGNAL_NAME)
                                            .with("reason", reason)));
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
