package org.rattanport.decisions.gateway;

import java.time.Duration;

/** Ranks requests for engines, which admit the more urgent ones first. */
final class Urgency {
    private static final Duration MAX_URGENT_OBJECTIVE = Duration.ofMillis(500);
    private static final Duration MAX_NORMAL_OBJECTIVE = Duration.ofMillis(2_000);
    private static final int URGENT = 1;
    private static final int NORMAL = 4;
    private static final int LOW = 6;

    private Urgency() {}

    /** Returns 0 for the most urgent to 9, by the time in which an answer is on time. */
    static int of(Duration objective) {
        if (objective.compareTo(MAX_URGENT_OBJECTIVE) <= 0) {
            return URGENT;
        }
        return objective.compareTo(MAX_NORMAL_OBJECTIVE) <= 0 ? NORMAL : LOW;
    }
}
