package org.rattanport.decisions.admission;

import org.rattanport.decisions.quota.AccountQuota;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/**
 * Refuses a prompt when the client account exceeds its token rate. This check must run last,
 * because it takes tokens from the quota.
 */
public final class QuotaCheck implements AdmissionCheck {
    private final AccountQuota mQuota;

    public QuotaCheck(AccountQuota quota) {
        mQuota = quota;
    }

    @Override
    public void check(AdmissionRequest admission) {
        long tokens = admission.request().totalTokens();
        if (!mQuota.tryTake(
                admission.environment().version().stage(), admission.account(), tokens)) {
            throw RattanportException.builder(
                            ErrorCode.ACCOUNT_LIMIT,
                            "account "
                                    + admission.account().id()
                                    + " is over its limit of "
                                    + admission.account().tokensPerSecond()
                                    + " tokens a second")
                    .retryAfter(mQuota.retryAfter(admission.account(), tokens))
                    .build();
        }
    }
}
