package org.rattanport.kernel.time;

import java.time.Duration;

/** The clock for reading the time and for waiting. Tests replace it with a manual clock. */
public interface TimeSource {
    /** Monotonic time in nanoseconds from an arbitrary origin. */
    long nanoTime();

    /** Wall-clock time in milliseconds since the epoch; for records that leave the process. */
    long wallMillis();

    /**
     * Blocks the calling task.
     *
     * @throws org.rattanport.kernel.error.RattanportException with code {@code CANCELLED} when the
     *     task is interrupted
     */
    void sleep(Duration duration);
}
