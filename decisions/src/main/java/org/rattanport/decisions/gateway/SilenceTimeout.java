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
 * @param base longest silence that needs no explanation
 * @param max longest silence at all; callers leave soon after
 */
record SilenceTimeout(Duration base, Duration max) {
    /** Shortest silence of a stream after which its engine is given up. */
    private static final Duration MIN_GAP_TIMEOUT = Duration.ofMillis(1_200);

    /** Silence of a stream relative to the pause that is still on time. */
    private static final int GAP_FACTOR = 4;

    /** Least wait for the first event; below the two seconds after which callers leave. */
    private static final Duration MIN_FIRST_EVENT_TIMEOUT = Duration.ofMillis(1_000);

    /** Wait for the first event relative to its prediction. */
    private static final int PREDICTION_FACTOR = 3;

    /** Wait for a plain answer relative to the time in which it is on time. */
    private static final int OBJECTIVE_FACTOR = 3;

    /** Callers leave a stream after the longest of these silences. */
    private static final Duration MIN_CALLER_TIMEOUT = Duration.ofSeconds(2);

    private static final int CALLER_OBJECTIVE_FACTOR = 4;
    private static final int CALLER_GAP_FACTOR = 8;

    /** Time for an event of another engine to come before the caller leaves. */
    private static final Duration FAILOVER_TIME = Duration.ofMillis(250);

    /** Time by which an engine may be later than predicted. */
    private static final Duration PREFILL_MARGIN = Duration.ofMillis(200);

    /** Patience until the first event, which was predicted after some milliseconds. */
    static SilenceTimeout beforeFirstEvent(Route route, double predictedMillis) {
        if (route.kind() != RouteKind.STREAMING) {
            Duration timeout = route.objective().multipliedBy(OBJECTIVE_FACTOR);
            return new SilenceTimeout(timeout, timeout);
        }
        Duration predicted = Duration.ofMillis(Math.round(PREDICTION_FACTOR * predictedMillis));
        Duration base =
                longer(
                        MIN_FIRST_EVENT_TIMEOUT,
                        predicted.plus(MIN_FIRST_EVENT_TIMEOUT.dividedBy(2)));
        return new SilenceTimeout(base, longer(base, maxOf(route)));
    }

    /** Patience between two events. */
    static SilenceTimeout betweenEvents(Route route) {
        Duration base = longer(MIN_GAP_TIMEOUT, route.longestPause().multipliedBy(GAP_FACTOR));
        return new SilenceTimeout(base, longer(base, maxOf(route)));
    }

    /** Patience with the last back end that may be asked, however long it is silent. */
    static SilenceTimeout routeTimeout(Route route) {
        return new SilenceTimeout(route.timeout(), route.timeout());
    }

    private static Duration maxOf(Route route) {
        Duration callerTimeout =
                longer(
                        MIN_CALLER_TIMEOUT,
                        longer(
                                route.objective().multipliedBy(CALLER_OBJECTIVE_FACTOR),
                                route.longestPause().multipliedBy(CALLER_GAP_FACTOR)));
        return callerTimeout.minus(FAILOVER_TIME);
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
            Supplier<Duration> remainingPrefill,
            Function<Deadline, T> read) {
        long startNanos = time.nanoTime();
        Duration timeout = base;
        while (true) {
            try {
                return read.apply(deadline.within(time, timeout));
            } catch (RattanportException e) {
                Duration elapsed = Duration.ofNanos(time.nanoTime() - startNanos);
                timeout = extension(remainingPrefill.get(), max.minus(elapsed));
                boolean keepsWaiting =
                        e.code() == ErrorCode.DEADLINE_EXCEEDED
                                && !deadline.hasPassed(time)
                                && timeout.isPositive();
                if (!keepsWaiting) {
                    throw e;
                }
            }
        }
    }

    private static Duration extension(Duration remainingPrefill, Duration limit) {
        if (!remainingPrefill.isPositive()) {
            return Duration.ZERO;
        }
        Duration expected = remainingPrefill.plus(PREFILL_MARGIN);
        return expected.compareTo(limit) < 0 ? expected : limit;
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }
}
