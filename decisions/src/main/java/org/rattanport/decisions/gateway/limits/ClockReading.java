package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import org.rattanport.kernel.time.TimeSource;

/**
 * A moment on both clocks of this machine. The age of a moment is that of the clock that advanced
 * further: the monotonic clock of a frozen machine may stand still.
 */
public record ClockReading(long nanos, long wallMillis) {
    public static ClockReading now(TimeSource time) {
        return new ClockReading(time.nanoTime(), time.wallMillis());
    }

    /** The moment that is this long ago. */
    static ClockReading before(TimeSource time, Duration age) {
        return new ClockReading(
                time.nanoTime() - age.toNanos(), time.wallMillis() - age.toMillis());
    }

    Duration age(TimeSource time) {
        Duration monotonic = Duration.ofNanos(time.nanoTime() - nanos);
        Duration wall = Duration.ofMillis(time.wallMillis() - wallMillis);
        return monotonic.compareTo(wall) >= 0 ? monotonic : wall;
    }
}
