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
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MAX_ADVANCE_SHARE = 0.1;

    private final TimeSource mTime;
    private final Map<AccountId, Bucket> mBuckets = new HashMap<>();

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
        Bucket bucket = mBuckets.computeIfAbsent(account.id(), ignored -> new Bucket());
        bucket.refill(account, mTime.nanoTime());
        if (bucket.mTokens <= 0) {
            return 0;
        }
        // Limits the tokens granted in advance, so that one instance cannot empty the bucket.
        long advance = (long) (Math.max(0, bucket.mTokens - needed) * MAX_ADVANCE_SHARE);
        long granted = needed + Math.min(requested - needed, advance);
        bucket.mTokens -= granted;
        return granted;
    }

    private static final class Bucket {
        private double mTokens;
        private long mRefilledNanos;
        private boolean mIsInitialized;

        private void refill(ClientAccount account, long nowNanos) {
            if (mIsInitialized) {
                double seconds = (nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
                mTokens =
                        Math.min(
                                account.burstTokens(),
                                mTokens + seconds * account.tokensPerSecond());
            }
            if (!mIsInitialized) {
                mTokens = Math.min(account.burstTokens(), account.tokensPerSecond());
            }
            mIsInitialized = true;
            mRefilledNanos = nowNanos;
        }
    }
}
