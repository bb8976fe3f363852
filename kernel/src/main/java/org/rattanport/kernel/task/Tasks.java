package org.rattanport.kernel.task;

import java.util.concurrent.ThreadFactory;
import org.jboss.logging.Logger;

/** Starts the tasks of an instance: one virtual thread for each connection, peer and target. */
public final class Tasks {
    private static final Logger LOGGER = Logger.getLogger(Tasks.class);

    private Tasks() {}

    /**
     * Starts a task that ends when its body returns; an interrupt requests that the body return.
     */
    public static Thread start(String name, Runnable body) {
        return Thread.ofVirtual()
                .name(name)
                .uncaughtExceptionHandler(
                        (thread, error) ->
                                LOGGER.errorf(
                                        error,
                                        "task %s ended with an uncaught error",
                                        thread.getName()))
                .start(body);
    }

    public static ThreadFactory factory(String prefix) {
        return Thread.ofVirtual().name(prefix, 0).factory();
    }
}
