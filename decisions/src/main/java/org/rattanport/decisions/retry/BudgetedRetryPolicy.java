package org.rattanport.decisions.retry;

import java.util.Set;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;

/** Retries idempotent work and work that did not run, within the retry budget of the pool. */
public final class BudgetedRetryPolicy implements RetryPolicy {
    private static final int MAX_ATTEMPTS = 4;
    private static final Set<ErrorCode> RETRYABLE_CODES =
            Set.of(
                    ErrorCode.TARGET_FAILED,
                    ErrorCode.TARGET_REFUSED,
                    ErrorCode.TARGET_LEAVING,
                    ErrorCode.ANSWER_CUT);

    private final RetryBudget mBudget;

    public BudgetedRetryPolicy(RetryBudget budget) {
        mBudget = budget;
    }

    @Override
    public boolean shouldRetry(
            RattanportException error, boolean isIdempotent, int attempts, String pool) {
        if (!RETRYABLE_CODES.contains(error.code()) || attempts >= MAX_ATTEMPTS) {
            return false;
        }
        if (!isIdempotent && error.verdict() != Verdict.NOT_RUN) {
            return false;
        }
        return mBudget.tryWithdraw(pool);
    }
}
