package org.rattanport.decisions.retry;

import java.util.Set;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;

/** Repeats what certainly did not run, and idempotent work, within the budget of the pool. */
public final class BudgetedRetry implements RetryPolicy {
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final Set<ErrorCode> RETRIED =
            Set.of(
                    ErrorCode.TARGET_FAILED,
                    ErrorCode.TARGET_REFUSED,
                    ErrorCode.TARGET_LEAVING,
                    ErrorCode.ANSWER_CUT);

    private final RetryBudget mBudget;

    public BudgetedRetry(RetryBudget budget) {
        mBudget = budget;
    }

    @Override
    public boolean shouldRetry(
            RattanportException error, boolean isIdempotent, int attempts, String pool) {
        if (!RETRIED.contains(error.code()) || attempts >= MAXIMUM_ATTEMPTS) {
            return false;
        }
        if (!isIdempotent && error.verdict() != Verdict.NOT_RUN) {
            return false;
        }
        return mBudget.tryRetry(pool);
    }
}
