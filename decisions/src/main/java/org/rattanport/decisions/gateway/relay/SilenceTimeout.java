package org.rattanport.decisions.gateway.relay;

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
 * How long a back end may be silent before a retry at another one. The timeout is extended while
 * the engine has pending prefill work, up to shortly before the caller would disconnect.
 *
 * @param base timeout without pending prefill work
 * @param max longest extended timeout; callers disconnect soon after
 */
public record SilenceTimeout(Duration base, Duration max) {
    /** Shortest timeout between two events of a stream. */
    private static final Duration MIN_GAP_TIMEOUT = Duration.ofMillis(1_200);

    /** Timeout between events, as a multiple of the route's longest gap that is on time. */
    private static final int GAP_FACTOR = 4;

    /**
     * Shortest timeout before the first event; below the two seconds after which callers
     * disconnect.
     */
    private static final Duration MIN_FIRST_EVENT_TIMEOUT = Duration.ofMillis(1_000);

    /**
     * Shortest timeout between the head and the first event. A head may come later than {@link
     * #max}, when no other back end could take over before.
     */
    private static final Duration MIN_TIMEOUT_AFTER_HEAD = Duration.ofMillis(100);

    /** Timeout before the first event, as a multiple of its predicted time. */
    private static final int PREDICTION_FACTOR = 3;

    /** Timeout of a plain response, as a multiple of the route's objective. */
    private static final int OBJECTIVE_FACTOR = 3;

    /**
     * Callers disconnect from a silent stream after the longest of three durations: this one, the
     * route's objective and the route's maximum gap, the latter two times the factors below.
     */
    private static final Duration MIN_CALLER_TIMEOUT = Duration.ofSeconds(2);

    private static final int CALLER_OBJECTIVE_FACTOR = 4;
    private static final int CALLER_GAP_FACTOR = 8;

    /** Time that another engine needs to send an event before the caller disconnects. */
    private static final Duration FAILOVER_TIME = Duration.ofMillis(250);

    /** Time by which an engine may exceed the prediction. */
    private static final Duration PREFILL_MARGIN = Duration.ofMillis(200);

    /** Timeout before the first event, for its predicted time. */
    public static SilenceTimeout beforeFirstEvent(Route route, double predictedMillis) {
        if (route.kind() != RouteKind.STREAMING) {
            Duration timeout = route.latencyObjective().multipliedBy(OBJECTIVE_FACTOR);
            return new SilenceTimeout(timeout, timeout);
        }
        Duration predicted = Duration.ofMillis(Math.round(PREDICTION_FACTOR * predictedMillis));
        Duration base =
                longer(
                        MIN_FIRST_EVENT_TIMEOUT,
                        predicted.plus(MIN_FIRST_EVENT_TIMEOUT.dividedBy(2)));
        return new SilenceTimeout(base, longer(base, maxOf(route)));
    }

    /** Timeout between two events. */
    public static SilenceTimeout betweenEvents(Route route) {
        Duration base = longer(MIN_GAP_TIMEOUT, route.maxEventGap().multipliedBy(GAP_FACTOR));
        return new SilenceTimeout(base, longer(base, maxOf(route)));
    }

    /** Timeout when no retry is allowed: only the route limits the silence. */
    public static SilenceTimeout routeTimeout(Route route) {
        return new SilenceTimeout(route.timeout(), route.timeout());
    }

    /** Returns what the first event has left of this timeout after a wait for the head. */
    public SilenceTimeout afterHead(Duration elapsed) {
        Duration left = longer(MIN_TIMEOUT_AFTER_HEAD, max.minus(elapsed));
        return new SilenceTimeout(base.compareTo(left) < 0 ? base : left, left);
    }

    private static Duration maxOf(Route route) {
        return callerTimeout(route).minus(FAILOVER_TIME);
    }

    /** Silence of a stream after which its caller disconnects. */
    public static Duration callerTimeout(Route route) {
        return longer(
                MIN_CALLER_TIMEOUT,
                longer(
                        route.latencyObjective().multipliedBy(CALLER_OBJECTIVE_FACTOR),
                        route.maxEventGap().multipliedBy(CALLER_GAP_FACTOR)));
    }

    /**
     * Waits with this timeout.
     *
     * @param read waits until the deadline it receives
     * @param takeOver whether another back end may take the request over; until then this one is
     *     not given up
     * @param remainingPrefill predicted time of the back end's pending prefill work
     * @throws RattanportException {@code DEADLINE_EXCEEDED} when the back end was silent for too
     *     long
     */
    public <T> T await(
            TimeSource time,
            Deadline deadline,
            TakeOver takeOver,
            Supplier<Duration> remainingPrefill,
            Function<Deadline, T> read) {
        long startNanos = time.nanoTime();
        Duration timeout = base;
        while (true) {
            try {
                return read.apply(deadline.within(time, timeout));
            } catch (RattanportException e) {
                if (e.code() != ErrorCode.DEADLINE_EXCEEDED || deadline.hasPassed(time)) {
                    throw e;
                }
                Duration elapsed = Duration.ofNanos(time.nanoTime() - startNanos);
                timeout =
                        takeOver.isPossible()
                                ? extension(remainingPrefill.get(), max.minus(elapsed))
                                : base;
                if (!timeout.isPositive()) {
                    if (takeOver.tryReserve()) {
                        throw e;
                    }
                    timeout = base;
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
