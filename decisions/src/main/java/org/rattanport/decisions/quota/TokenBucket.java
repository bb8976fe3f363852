package org.rattanport.decisions.quota;

/** A token bucket that may fall below zero. It is not thread-safe. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double mTokens;
    private long mRefilledNanos;

    public TokenBucket(double initialTokens, long nowNanos) {
        mTokens = initialTokens;
        mRefilledNanos = nowNanos;
    }

    /** Adds the tokens of the time since the last call, up to the capacity. */
    public void refill(double tokensPerSecond, double capacity, long nowNanos) {
        double seconds = (nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
        mTokens = Math.min(capacity, mTokens + seconds * tokensPerSecond);
        mRefilledNanos = nowNanos;
    }

    public double tokens() {
        return mTokens;
    }

    public void take(double tokens) {
        mTokens -= tokens;
    }
}
