package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.function.Function;
import java.util.function.Supplier;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * How long a back end may stay silent before another one is asked, where one may be. An engine that
 * is known to read is waited for longer, as long as the caller itself would stay.
 *
 * @param usual longest silence that needs no explanation
 * @param most longest silence at all; callers leave soon after
 */
record Patience(Duration usual, Duration most) {
    /** Shortest silence of a stream after which its engine is given up. */
    private static final Duration LEAST_SILENCE = Duration.ofMillis(1_200);

    /** Silence of a stream relative to the pause that is still on time. */
    private static final int SILENT_PAUSES = 4;

    /** Least wait for the first event; below the two seconds after which callers leave. */
    private static final Duration LEAST_FIRST = Duration.ofMillis(1_000);

    /** Wait for the first event relative to its prediction. */
    private static final int PREDICTIONS = 3;

    /** Wait for a plain answer relative to the time in which it is on time. */
    private static final int OBJECTIVES = 3;

    /** Callers leave a stream after the longest of these silences. */
    private static final Duration CALLERS_LEAST = Duration.ofSeconds(2);

    private static final int CALLERS_OBJECTIVES = 4;
    private static final int CALLERS_PAUSES = 8;

    /** Time for an event of another engine to come before the caller leaves. */
    private static final Duration TIME_TO_MOVE = Duration.ofMillis(250);

    /** Time by which an engine may be later than predicted. */
    private static final Duration READING_MARGIN = Duration.ofMillis(200);

    /** Patience until the first event, which was predicted after some milliseconds. */
    static Patience untilFirst(Route route, double predictedMillis) {
        if (route.kind() != RouteKind.STREAMING) {
            Duration longest = route.objective().multipliedBy(OBJECTIVES);
            return new Patience(longest, longest);
        }
        Duration first = Duration.ofMillis(Math.round(PREDICTIONS * predictedMillis));
        Duration usual = longer(LEAST_FIRST, first.plus(LEAST_FIRST.dividedBy(2)));
        return new Patience(usual, longer(usual, mostOf(route)));
    }

    /** Patience between two events. */
    static Patience between(Route route) {
        Duration usual = longer(LEAST_SILENCE, route.longestPause().multipliedBy(SILENT_PAUSES));
        return new Patience(usual, longer(usual, mostOf(route)));
    }

    /** Patience with the last back end that may be asked, however long it is silent. */
    static Patience unlimited(Route route) {
        return new Patience(route.timeout(), route.timeout());
    }

    private static Duration mostOf(Route route) {
        Duration leaving =
                longer(
                        CALLERS_LEAST,
                        longer(
                                route.objective().multipliedBy(CALLERS_OBJECTIVES),
                                route.longestPause().multipliedBy(CALLERS_PAUSES)));
        return leaving.minus(TIME_TO_MOVE);
    }

    /**
     * Reads with this patience.
     *
     * @param read waits until the deadline that it is given
     * @param reading how long the back end is still known to read
     * @throws RattanportException {@code DEADLINE_EXCEEDED} when it was silent for too long
     */
    <T> T await(
            TimeSource time,
            Deadline deadline,
            Supplier<Duration> reading,
            Function<Deadline, T> read) {
        long since = time.nanoTime();
        Duration left = usual;
        while (true) {
            try {
                return read.apply(deadline.within(time, left));
            } catch (RattanportException e) {
                Duration silent = Duration.ofNanos(time.nanoTime() - since);
                left = explained(reading.get(), most.minus(silent));
                boolean goesOn =
                        e.code() == ErrorCode.DEADLINE_EXCEEDED
                                && !deadline.hasPassed(time)
                                && left.isPositive();
                if (!goesOn) {
                    throw e;
                }
            }
        }
    }

    private static Duration explained(Duration reading, Duration atMost) {
        if (!reading.isPositive()) {
            return Duration.ZERO;
        }
        Duration expected = reading.plus(READING_MARGIN);
        return expected.compareTo(atMost) < 0 ? expected : atMost;
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }
}
