package org.rattanport.connectors.caller;

import java.time.Duration;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Watches over one request while its own task may block: sends keep-alives, which show whether the
 * caller is still there, and interrupts a task that is stuck writing when its time is over.
 */
final class RequestGuard implements AutoCloseable {
    private static final Duration KEEP_ALIVE_PERIOD = Duration.ofSeconds(5);
    private static final Duration GRACE = Duration.ofMillis(500);

    private final Thread mRequestTask = Thread.currentThread();
    private final Thread mGuardTask;
    private boolean mIsClosed;

    RequestGuard(
            TimeSource time, Deadline deadline, Runnable keepAlive, Cancellation cancellation) {
        mGuardTask =
                Tasks.start("request-guard", () -> run(time, deadline, keepAlive, cancellation));
    }

    private void run(
            TimeSource time, Deadline deadline, Runnable keepAlive, Cancellation cancellation) {
        try {
            while (!deadline.hasPassed(time)) {
                Duration remaining = deadline.remaining(time);
                boolean isLast = remaining.compareTo(KEEP_ALIVE_PERIOD) <= 0;
                time.sleep(isLast ? remaining : KEEP_ALIVE_PERIOD);
                if (!isLast) {
                    keepAlive.run();
                }
            }
            time.sleep(GRACE);
            interruptRequest();
        } catch (RattanportException e) {
            cancelUnlessClosed(cancellation);
        }
    }

    private synchronized void cancelUnlessClosed(Cancellation cancellation) {
        if (!mIsClosed) {
            cancellation.cancel();
        }
    }

    private synchronized void interruptRequest() {
        if (!mIsClosed) {
            mRequestTask.interrupt();
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            mIsClosed = true;
        }
        mGuardTask.interrupt();
    }
}
