package org.rattanport.decisions.quota;

/** A token bucket that may fall below zero. It is not thread-safe. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double mTokens;
    private long mRefilledNanos;

    /**
     * Creates a bucket.
     *
     * @param startNanos when it begins to get tokens
     */
    public TokenBucket(double initialTokens, long startNanos) {
        mTokens = initialTokens;
        mRefilledNanos = startNanos;
    }

    /** Adds the tokens of the time since the last call, up to the capacity. */
    public void refill(double tokensPerSecond, double capacity, long nowNanos) {
        if (nowNanos - mRefilledNanos < 0) {
            return;
        }
        double seconds = (nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
        mTokens = Math.min(capacity, mTokens + seconds * tokensPerSecond);
        mRefilledNanos = nowNanos;
    }

    /** Returns the seconds after a refill at which the bucket has that many tokens. */
    public double secondsUntil(double tokens, double tokensPerSecond, long nowNanos) {
        double secondsToStart = Math.max(0, mRefilledNanos - nowNanos) / NANOS_PER_SECOND;
        return secondsToStart + Math.max(0, tokens - mTokens) / tokensPerSecond;
    }

    public double tokens() {
        return mTokens;
    }

    public void take(double tokens) {
        mTokens -= tokens;
    }
}
