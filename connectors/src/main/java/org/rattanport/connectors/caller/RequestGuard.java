package org.rattanport.connectors.caller;

import java.time.Duration;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Monitors one request whose own task may block. The guard sends keep-alives, which fail when the
 * caller has disconnected, and interrupts the task of the request when a blocked write outlasts the
 * deadline.
 */
final class RequestGuard implements AutoCloseable {
    private static final Duration KEEP_ALIVE_PERIOD = Duration.ofSeconds(5);

    /** Time after the deadline in which the task of the request can end by itself. */
    private static final Duration INTERRUPT_DELAY = Duration.ofMillis(500);

    private final Thread mRequestThread = Thread.currentThread();
    private final Thread mGuardThread;
    private boolean mIsClosed;

    RequestGuard(
            TimeSource time, Deadline deadline, Runnable keepAlive, Cancellation cancellation) {
        mGuardThread =
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
            time.sleep(INTERRUPT_DELAY);
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
            mRequestThread.interrupt();
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            mIsClosed = true;
        }
        mGuardThread.interrupt();
    }
}
