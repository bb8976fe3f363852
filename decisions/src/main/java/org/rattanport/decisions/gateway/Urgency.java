package org.rattanport.decisions.gateway;

import java.time.Duration;

/** Ranks requests for engines, which admit the more urgent ones first. */
final class Urgency {
    private static final Duration SHORT_OBJECTIVE = Duration.ofMillis(500);
    private static final Duration MIDDLE_OBJECTIVE = Duration.ofMillis(2_000);
    private static final int URGENT = 1;
    private static final int USUAL = 4;
    private static final int PATIENT = 6;

    private Urgency() {}

    /** Returns 0 for the most urgent to 9, by the time in which an answer is on time. */
    static int of(Duration objective) {
        if (objective.compareTo(SHORT_OBJECTIVE) <= 0) {
            return URGENT;
        }
        return objective.compareTo(MIDDLE_OBJECTIVE) <= 0 ? USUAL : PATIENT;
    }
}
