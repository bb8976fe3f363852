package org.rattanport.kernel.task;

import java.time.Duration;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.time.TimeSource;

/** A task that repeats one step with a pause between; a failing step is logged and repeated. */
public final class PeriodicTask implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(PeriodicTask.class);

    private final Thread mThread;
    private volatile boolean mClosed;

    public PeriodicTask(String name, TimeSource time, Duration pause, Runnable step) {
        mThread = Tasks.start(name, () -> run(name, time, pause, step));
    }

    private void run(String name, TimeSource time, Duration pause, Runnable step) {
        while (!mClosed) {
            try {
                step.run();
            } catch (RattanportException e) {
                if (e.code() == ErrorCode.CANCELLED && mClosed) {
                    return;
                }
                LOGGER.debugf("task %s: %s %s", name, e.code(), e.getMessage());
            } catch (RuntimeException e) {
                LOGGER.warnf(e, "task %s failed and goes on", name);
            }
            if (!mClosed) {
                pause(time, pause);
            }
        }
    }

    private void pause(TimeSource time, Duration pause) {
        try {
            time.sleep(pause);
        } catch (RattanportException e) {
            // An interrupt that was not meant to close the task only shortens the pause.
            Thread.interrupted();
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mThread.interrupt();
    }
}
