package org.rattanport.kernel.time;

import java.time.Duration;

/** The clock that decisions read and wait on; tests replace it by a manual one. */
public interface TimeSource {
    /** Monotonic time in nanoseconds from an arbitrary origin. */
    long nanoTime();

    /** Wall-clock time in milliseconds since the epoch; for records kept outside the process. */
    long wallMillis();

    /**
     * Blocks the calling task.
     *
     * @throws org.rattanport.kernel.error.RattanportException with code {@code CANCELLED} when the
     *     task is interrupted
     */
    void sleep(Duration duration);
}
