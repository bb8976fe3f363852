package org.rattanport.kernel.time;

import java.time.Duration;

/** The instant on the monotonic clock by which a piece of work must have ended. */
public record Deadline(long nanos) {
    /** Returns the deadline that lies the given time after now. */
    public static Deadline after(TimeSource time, Duration duration) {
        return new Deadline(time.nanoTime() + duration.toNanos());
    }

    /** Time left, never negative. */
    public Duration remaining(TimeSource time) {
        return Duration.ofNanos(Math.max(0, nanos - time.nanoTime()));
    }

    public boolean hasPassed(TimeSource time) {
        return nanos - time.nanoTime() <= 0;
    }

    /** Returns the earlier of this deadline and the one that lies the given time after now. */
    public Deadline within(TimeSource time, Duration limit) {
        long limited = time.nanoTime() + limit.toNanos();
        return limited - nanos < 0 ? new Deadline(limited) : this;
    }
}
