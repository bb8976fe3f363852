package org.rattanport.daemon.command;

import java.util.concurrent.CountDownLatch;
import org.jboss.logging.Logger;
import org.rattanport.daemon.Instance;
import org.rattanport.daemon.Logging;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.LogLine;

/** Keeps a serving process alive until a signal stops it. */
public final class Serving {
    private static final Logger LOGGER = Logger.getLogger(Serving.class);

    private Serving() {}

    /** Starts the instance. A signal that stops the process drains it, also while it starts. */
    public static void start(Instance instance) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(instance), "drain"));
        instance.start();
    }

    /** Waits for the signal that stops the process. */
    public static void awaitShutdown() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    /**
     * Stops the instance; the exit code shows whether all requests ended before the drain limit.
     */
    private static void drainAndHalt(Instance instance) {
        if (instance.hasFailedToStart()) {
            // The command reports it, and its exit code stands.
            Logging.close();
            return;
        }
        boolean isDrained = instance.stop() && !instance.hasFailedToStart();
        LOGGER.info(LogLine.of("process-ends").with("nothing_cut", isDrained));
        Logging.close();
        Runtime.getRuntime().halt(isDrained ? ExitCode.SUCCESS : ExitCode.FAILED);
    }
}
