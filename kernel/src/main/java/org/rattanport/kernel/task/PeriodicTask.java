package org.rattanport.kernel.task;

import java.time.Duration;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.time.TimeSource;

/**
 * A task that repeats a step after each interval. An error in the step is logged, and the task
 * continues.
 */
public final class PeriodicTask implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(PeriodicTask.class);

    private final Thread mThread;
    private volatile boolean mIsClosed;

    public PeriodicTask(String name, TimeSource time, Duration interval, Runnable step) {
        mThread = Tasks.start(name, () -> run(name, time, interval, step));
    }

    private void run(String name, TimeSource time, Duration interval, Runnable step) {
        while (!mIsClosed) {
            try {
                step.run();
            } catch (RattanportException e) {
                if (e.code() == ErrorCode.CANCELLED && mIsClosed) {
                    return;
                }
                LOGGER.debugf("task %s: %s %s", name, e.code(), e.getMessage());
            } catch (RuntimeException e) {
                LOGGER.warnf(e, "step of task %s failed; the task continues", name);
            }
            if (!mIsClosed) {
                waitFor(time, interval);
            }
        }
    }

    private void waitFor(TimeSource time, Duration interval) {
        try {
            time.sleep(interval);
        } catch (RattanportException e) {
            // An interrupt that does not come from close() only shortens the interval.
            Thread.interrupted();
        }
    }

    @Override
    public void close() {
        mIsClosed = true;
        mThread.interrupt();
    }
}
