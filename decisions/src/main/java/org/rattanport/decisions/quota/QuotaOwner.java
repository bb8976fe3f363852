package org.rattanport.decisions.quota;

import java.util.HashMap;
import java.util.Map;
import org.rattanport.kernel.environment.ClientAccount;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.time.TimeSource;

/**
 * Grants the tokens of the accounts that this instance owns by rendezvous.
 *
 * <p>A bucket that is above zero grants a request whole and may fall below zero, so that a prompt
 * larger than the burst is served at all. A new owner starts at zero, since the owner before it may
 * just have granted the whole burst.
 */
public final class QuotaOwner {
    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource mTime;
    private final Map<AccountId, Bucket> mBuckets = new HashMap<>();

    public QuotaOwner(TimeSource time) {
        mTime = time;
    }

    /**
     * Grants tokens of an account.
     *
     * @param needed tokens without which the caller cannot go on
     * @param wanted tokens that the caller would like to keep at hand, at least {@code needed}
     * @return the granted tokens: none, or at least {@code needed}
     */
    public synchronized long grant(ClientAccount account, long needed, long wanted) {
        Bucket bucket = mBuckets.computeIfAbsent(account.id(), ignored -> new Bucket());
        bucket.refill(account, mTime.nanoTime());
        if (bucket.mTokens <= 0) {
            return 0;
        }
        long granted = Math.max(needed, Math.min(wanted, (long) bucket.mTokens));
        bucket.mTokens -= granted;
        return granted;
    }

    /** Seconds until the account's bucket is above zero again. */
    public synchronized double secondsUntilGrant(ClientAccount account) {
        Bucket bucket = mBuckets.get(account.id());
        if (bucket == null || bucket.mTokens > 0) {
            return 0;
        }
        return -bucket.mTokens / Math.max(1, account.tokensPerSecond());
    }

    private static final class Bucket {
        private double mTokens = 1;
        private long mRefilledNanos;
        private boolean mIsStarted;

        private void refill(ClientAccount account, long nowNanos) {
            if (mIsStarted) {
                double seconds = (nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
                mTokens =
                        Math.min(
                                account.burstTokens(),
                                mTokens + seconds * account.tokensPerSecond());
            }
            mIsStarted = true;
            mRefilledNanos = nowNanos;
        }
    }
}
