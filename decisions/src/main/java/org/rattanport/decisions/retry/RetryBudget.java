package org.rattanport.decisions.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds retries to a share of the first tries of each pool, so that a failing pool is not flooded
 * by the retries of its own failures.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_FIRST_TRY = 0.2;
    private static final double LARGEST_SAVING = 20;

    private final Map<String, Double> mSavings = new HashMap<>();

    /** Counts a first try, which earns a share of a retry. */
    public synchronized void firstTry(String pool) {
        double saved = mSavings.getOrDefault(pool, LARGEST_SAVING);
        mSavings.put(pool, Math.min(LARGEST_SAVING, saved + RETRIES_PER_FIRST_TRY));
    }

    /** Pays for one retry; false when none is left. */
    public synchronized boolean tryRetry(String pool) {
        double saved = mSavings.getOrDefault(pool, LARGEST_SAVING);
        if (saved < 1) {
            return false;
        }
        mSavings.put(pool, saved - 1);
        return true;
    }
}
