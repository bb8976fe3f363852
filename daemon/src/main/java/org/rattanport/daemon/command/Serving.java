package org.rattanport.daemon.command;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.rattanport.daemon.Instance;
import org.rattanport.daemon.Logging;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.LogLine;

/** Keeps a serving process alive until a signal stops it. */
public final class Serving {
    private static final Logger LOGGER = Logger.getLogger(Serving.class);

    /** Time for which a stop waits for a start that is under way. */
    private static final int MAX_START_SECONDS = 5;

    private Serving() {}

    /**
     * Starts an instance. A signal that stops the process drains it, also while it starts: it may
     * already have accepted requests then.
     */
    public static Instance start(Supplier<Instance> start) {
        CompletableFuture<Instance> starting = new CompletableFuture<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(starting), "drain"));
        try {
            Instance instance = start.get();
            starting.complete(instance);
            return instance;
        } catch (RuntimeException e) {
            starting.completeExceptionally(e);
            throw e;
        }
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
    private static void drainAndHalt(CompletableFuture<Instance> starting) {
        try {
            boolean isDrained = starting.get(MAX_START_SECONDS, TimeUnit.SECONDS).stop();
            LOGGER.info(LogLine.of("process-ends").with("nothing_cut", isDrained));
            Logging.close();
            Runtime.getRuntime().halt(isDrained ? ExitCode.SUCCESS : ExitCode.FAILED);
        } catch (ExecutionException e) {
            // The start has failed; the command reports it, and its exit code stands.
            Logging.close();
        } catch (TimeoutException | InterruptedException e) {
            LOGGER.errorf("the process ends while it starts: %s", e);
            Logging.close();
            Runtime.getRuntime().halt(ExitCode.FAILED);
        }
    }
}
