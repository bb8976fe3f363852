package org.rattanport.kernel.time;

import java.time.Duration;

/** The instant on the monotonic clock by which an activity must end. */
public record Deadline(long nanos) {
    /** Returns the deadline that is the given duration from now. */
    public static Deadline after(TimeSource time, Duration duration) {
        return new Deadline(time.nanoTime() + duration.toNanos());
    }

    /** Returns the remaining time, which is never negative. */
    public Duration remaining(TimeSource time) {
        return Duration.ofNanos(Math.max(0, nanos - time.nanoTime()));
    }

    public boolean hasPassed(TimeSource time) {
        return nanos - time.nanoTime() <= 0;
    }

    /** Returns the earlier of this deadline and the one that is the given duration from now. */
    public Deadline within(TimeSource time, Duration limit) {
        long limited = time.nanoTime() + limit.toNanos();
        return limited - nanos < 0 ? new Deadline(limited) : this;
    }
}
