package org.rattanport.decisions.gateway;

import java.time.Duration;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;

/** How long a back end may stay silent before another one is asked, where one may be. */
record Patience(Duration untilFirst, Duration between) {
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

    /** Patience with a back end that was predicted to answer after some milliseconds. */
    static Patience of(Route route, double predictedMillis) {
        if (route.kind() != RouteKind.STREAMING) {
            return new Patience(route.objective().multipliedBy(OBJECTIVES), route.timeout());
        }
        Duration first = Duration.ofMillis(Math.round(PREDICTIONS * predictedMillis));
        return new Patience(
                longer(LEAST_FIRST, first.plus(LEAST_FIRST.dividedBy(2))),
                longer(LEAST_SILENCE, route.longestPause().multipliedBy(SILENT_PAUSES)));
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }
}
