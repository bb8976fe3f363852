package org.rattanport.decisions.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits retries to a share of the first attempts of each pool, so that retries do not overload a
 * failing pool.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_FIRST_ATTEMPT = 0.2;
    private static final double MAX_BALANCE = 20;

    private final Map<String, Double> mBalances = new HashMap<>();

    /** Records a first attempt, which adds a fraction of a retry to the balance of the pool. */
    public synchronized void recordFirstAttempt(String pool) {
        double balance = mBalances.getOrDefault(pool, MAX_BALANCE);
        mBalances.put(pool, Math.min(MAX_BALANCE, balance + RETRIES_PER_FIRST_ATTEMPT));
    }

    /** Withdraws one retry from the balance; returns false when the balance is too low. */
    public synchronized boolean tryWithdraw(String pool) {
        double balance = mBalances.getOrDefault(pool, MAX_BALANCE);
        if (balance < 1) {
            return false;
        }
        mBalances.put(pool, balance - 1);
        return true;
    }
}
