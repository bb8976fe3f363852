package org.rattanport.standins.engine;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.rattanport.kernel.model.InstanceId;

/** A stream, a segment of a prompt or a memory reservation in the batch of a stand-in engine. */
final class Sequence {
    enum State {
        WAITING,
        PREFILL,
        RUNNING,
        DONE,
        RELEASED
    }

    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mProgressed = mLock.newCondition();
    final String mKey;
    final InstanceId mOwner;
    final int mPriority;
    final long mArrival;
    final long mMemoryTokens;
    final int mSeed;
    final int mFirstPosition;
    final int mOutputTokens;
    double mRemainingPrefillTokens;
    boolean mHasMemory;
    private State mState = State.WAITING;
    private int mGeneratedTokens;
    private long mLastAccessNanos = System.nanoTime();

    Sequence(
            String key,
            InstanceId owner,
            int priority,
            long arrival,
            long memoryTokens,
            double prefillTokens,
            int seed,
            int firstPosition,
            int outputTokens) {
        mKey = key;
        mOwner = owner;
        mPriority = priority;
        mArrival = arrival;
        mMemoryTokens = memoryTokens;
        mRemainingPrefillTokens = prefillTokens;
        mSeed = seed;
        mFirstPosition = firstPosition;
        mOutputTokens = outputTokens;
        mGeneratedTokens = firstPosition;
    }

    State state() {
        mLock.lock();
        try {
            return mState;
        } finally {
            mLock.unlock();
        }
    }

    void setState(State state) {
        mLock.lock();
        try {
            if (mState != State.RELEASED) {
                mState = state;
                mProgressed.signalAll();
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Generates the next output token. */
    void generateToken() {
        mLock.lock();
        try {
            mGeneratedTokens++;
            if (mGeneratedTokens >= mOutputTokens) {
                mState = State.DONE;
            }
            mProgressed.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Output that a sequence has generated so far.
     *
     * @param tokens number of output tokens generated so far
     * @param isDone whether the output is complete
     * @param isReleased whether the batch has released the sequence
     */
    record Output(int tokens, boolean isDone, boolean isReleased) {}

    /** Waits until there is output after the position, the sequence ends or the limit passes. */
    Output awaitOutput(int position, long limitNanos) throws InterruptedException {
        mLock.lock();
        try {
            mLastAccessNanos = System.nanoTime();
            long remainingNanos = limitNanos;
            while (mGeneratedTokens <= position
                    && mState != State.DONE
                    && mState != State.RELEASED
                    && remainingNanos > 0) {
                remainingNanos = mProgressed.awaitNanos(remainingNanos);
            }
            mLastAccessNanos = System.nanoTime();
            return new Output(mGeneratedTokens, mState == State.DONE, mState == State.RELEASED);
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Waits until the prefill ends; returns false if the sequence is released or 10 minutes pass.
     */
    boolean awaitPrefill() throws InterruptedException {
        mLock.lock();
        try {
            while (mState == State.WAITING || mState == State.PREFILL) {
                if (!mProgressed.await(10, TimeUnit.MINUTES)) {
                    return false;
                }
            }
            return mState != State.RELEASED;
        } finally {
            mLock.unlock();
        }
    }

    /** Seconds since a caller last read the output, or since creation. */
    double idleSeconds() {
        return (System.nanoTime() - mLastAccessNanos) / 1e9;
    }
}
