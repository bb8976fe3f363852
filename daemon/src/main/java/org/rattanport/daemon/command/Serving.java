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

    /** Waits for the signal, then drains and stops the instance and ends the process. */
    public static void awaitShutdown(Instance instance) {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(instance), "drain"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    /**
     * Stops the instance; the exit code shows whether all requests ended before the drain limit.
     */
    private static void drainAndHalt(Instance instance) {
        boolean isDrained = instance.stop();
        LOGGER.info(LogLine.of("process-ends").with("nothing_cut", isDrained));
        Logging.close();
        Runtime.getRuntime().halt(isDrained ? ExitCode.SUCCESS : ExitCode.FAILED);
    }
}
