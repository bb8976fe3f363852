package org.rattanport.daemon.command;

import java.util.concurrent.CountDownLatch;
import org.jboss.logging.Logger;
import org.rattanport.daemon.Instance;
import org.rattanport.daemon.Logging;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.LogLine;

/** Keeps a process alive that serves, until a signal stops it. */
public final class Serving {
    private static final Logger LOGGER = Logger.getLogger(Serving.class);

    private Serving() {}

    /** Waits for the signal, then stops the instance gracefully and ends the process. */
    public static void untilStopped(Instance instance) {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(instance), "drain"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    /** Ends the process with a code that says whether a request was cut. */
    private static void drainAndHalt(Instance instance) {
        boolean isClean = instance.stop();
        LOGGER.info(LogLine.of("process-ends").with("nothing_cut", isClean));
        Logging.close();
        Runtime.getRuntime().halt(isClean ? ExitCode.SUCCESS : ExitCode.FAILED);
    }
}
