package org.rattanport.decisions.gateway.limits;

import java.util.HashMap;
import java.util.Map;
import org.rattanport.kernel.gateway.BackEnd;

/** The last run of each back end that was registered, to tell new runs from known ones. */
final class RegisteredRuns {
    /** Ids that are kept; more than a registry holds, as ids of back ends that ended stay. */
    private static final int MAX_RUNS = 4_000;

    private final Map<String, Long> mStarts = new HashMap<>();

    /** Records that a run is registered; returns whether it was not known. */
    synchronized boolean recordRun(BackEnd backEnd) {
        if (mStarts.size() >= MAX_RUNS) {
            mStarts.clear();
        }
        Long previous = mStarts.put(backEnd.id(), backEnd.startWallMillis());
        return previous == null || previous != backEnd.startWallMillis();
    }
}
