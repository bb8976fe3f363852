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
 * larger than the burst is served at all. A new owner starts with one second of the rate and not
 * with the burst, since the owner before it may just have granted that.
 */
public final class QuotaOwner {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double LARGEST_SPARE_SHARE = 0.1;

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
        // What is granted ahead of need stays small, so that one instance cannot empty the bucket.
        long spare = (long) (Math.max(0, bucket.mTokens - needed) * LARGEST_SPARE_SHARE);
        long granted = needed + Math.min(wanted - needed, spare);
        bucket.mTokens -= granted;
        return granted;
    }

    private static final class Bucket {
        private double mTokens;
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
            if (!mIsStarted) {
                mTokens = Math.min(account.burstTokens(), account.tokensPerSecond());
            }
            mIsStarted = true;
            mRefilledNanos = nowNanos;
        }
    }
}
