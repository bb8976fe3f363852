package org.rattanport.decisions.quota;

import java.util.HashMap;
import java.util.Map;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.time.TimeSource;

/**
 * Grants tokens from one token bucket for each account.
 *
 * <p>A bucket above zero grants a request in full and may fall below zero, so that a prompt larger
 * than the burst can be served. At a new owner of an account, the bucket starts with one second of
 * the rate instead of the burst, since the previous owner may just have granted the burst.
 */
public final class AccountTokenBuckets {
    private static final double MAX_ADVANCE_SHARE = 0.1;

    private final TimeSource mTime;
    private final Map<AccountId, TokenBucket> mBuckets = new HashMap<>();

    public AccountTokenBuckets(TimeSource time) {
        mTime = time;
    }

    /**
     * Grants tokens of an account.
     *
     * @param needed minimum number of tokens that the caller requires
     * @param requested number of tokens that the caller requests in total, at least {@code needed}
     * @return the number of granted tokens: zero, or at least {@code needed}
     */
    public synchronized long grant(ClientAccount account, long needed, long requested) {
        long now = mTime.nanoTime();
        TokenBucket bucket =
                mBuckets.computeIfAbsent(
                        account.id(), ignored -> new TokenBucket(account.tokensPerSecond(), now));
        bucket.refill(account.tokensPerSecond(), account.burstTokens(), now);
        if (bucket.tokens() <= 0) {
            return 0;
        }
        // Limits the tokens granted in advance, so that one instance cannot empty the bucket.
        long advance = (long) (Math.max(0, bucket.tokens() - needed) * MAX_ADVANCE_SHARE);
        long granted = needed + Math.min(requested - needed, advance);
        bucket.take(granted);
        return granted;
    }
}
