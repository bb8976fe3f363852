package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.Optional;
import org.rattanport.kernel.gateway.PlacementDemand;

/**
 * Decides what becomes of a prompt that cannot be answered in time, while callers want more than
 * the engines can do: it gives way to those that can, and a long one waits until there is room, as
 * engines prefill what they have got whatever its urgency is.
 */
final class LatePrompts {
    /**
     * Predicted first event, as a multiple of the time left for it, from which a prompt is late.
     */
    private static final double LATE_FACTOR = 1.25;

    /** Prefill time on one engine from which a late prompt is postponed. */
    private static final double MIN_POSTPONED_MILLIS = 250;

    /** Part of the objective in which a late prompt must be answered to be sent. */
    private static final double START_FRACTION = 0.5;

    /** Shortest and longest time until a late prompt is placed again. */
    private static final double MIN_DELAY_MILLIS = 100;

    private static final double MAX_DELAY_MILLIS = 500;

    private LatePrompts() {}

    /** Whether a first event at that time from now is late. */
    static boolean isLate(PlacementDemand demand, double firstEventMillis) {
        long left = demand.objective().minus(demand.waited()).toMillis();
        return firstEventMillis > LATE_FACTOR * left;
    }

    /**
     * Returns when to place a late prompt again; empty if it is sent now.
     *
     * @param prefillMillis time that an idle engine takes to prefill the prompt
     * @param firstEventMillis predicted time to its first event if it is sent now
     * @param lacksMemory whether the engines lack the memory for it
     */
    static Optional<Duration> postponement(
            PlacementDemand demand,
            double prefillMillis,
            double firstEventMillis,
            boolean lacksMemory) {
        double excess = firstEventMillis - START_FRACTION * demand.objective().toMillis();
        boolean hasRoom = excess <= 0 && !lacksMemory;
        if (!demand.mayWait() || prefillMillis < MIN_POSTPONED_MILLIS || hasRoom) {
            return Optional.empty();
        }
        double delay = Math.clamp(excess / 2, MIN_DELAY_MILLIS, MAX_DELAY_MILLIS);
        return Optional.of(Duration.ofMillis(Math.round(delay)));
    }
}
