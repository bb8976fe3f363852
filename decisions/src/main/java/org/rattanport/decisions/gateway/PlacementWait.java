package org.rattanport.decisions.gateway;

import java.time.Duration;
import org.rattanport.decisions.gateway.relay.SilenceTimeout;
import org.rattanport.kernel.gateway.Route;

/**
 * How long a prompt that would be late may wait for its placement while engines have more prefill
 * work than they can do in time. It keeps the time in which the engines can still answer it, both
 * before its deadline and before its caller disconnects from a silent stream.
 */
final class PlacementWait {
    /** Time that an answer is expected to take once placed, in objectives of the route. */
    private static final int RESERVED_OBJECTIVES = 2;

    /** Multiple of the time left that a prediction must exceed, as it may be too high. */
    private static final double HOPELESS_FACTOR = 1.5;

    /**
     * Time by which a prediction must exceed the time left besides: first events within a second
     * vary by more than their prediction, and a caller with little time must not be refused for it.
     */
    private static final long MIN_EXCESS_MILLIS = 1_000;

    private PlacementWait() {}

    /** Whether a first event at that time is of no use to the caller. */
    static boolean isHopeless(double predictedFirstEventMillis, Duration remaining) {
        double excess = predictedFirstEventMillis - remaining.toMillis();
        return predictedFirstEventMillis > HOPELESS_FACTOR * remaining.toMillis()
                && excess > MIN_EXCESS_MILLIS;
    }

    /**
     * Whether a request may wait on.
     *
     * @param waited time that it has waited
     * @param remaining time until its deadline
     */
    static boolean isAllowed(Route route, Duration waited, Duration remaining) {
        Duration reserved = route.latencyObjective().multipliedBy(RESERVED_OBJECTIVES);
        return remaining.compareTo(reserved) > 0
                && SilenceTimeout.callerTimeout(route).minus(waited).compareTo(reserved) > 0;
    }
}
