package org.rattanport.decisions.gateway;

import java.time.Duration;

/** Ranks requests for engines, which admit requests of higher urgency first. */
final class Urgency {
    private static final Duration MAX_URGENT_OBJECTIVE = Duration.ofMillis(500);
    private static final Duration MAX_NORMAL_OBJECTIVE = Duration.ofMillis(2_000);
    private static final int URGENT = 1;
    private static final int NORMAL = 4;
    private static final int LOW = 6;
    private static final int DEFERRED = 8;

    private Urgency() {}

    /**
     * Returns the urgency for a response-time objective, from 0 for the most urgent to 9. A request
     * that is late already gives way to those that may still be on time.
     */
    static int of(Duration objective, boolean isDeferred) {
        if (isDeferred) {
            return DEFERRED;
        }
        if (objective.compareTo(MAX_URGENT_OBJECTIVE) <= 0) {
            return URGENT;
        }
        return objective.compareTo(MAX_NORMAL_OBJECTIVE) <= 0 ? NORMAL : LOW;
    }
}
