package org.rattanport.standins.engine;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.rattanport.kernel.model.InstanceId;

/** One stream or piece in a stand-in engine: its memory, its progress and its output. */
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
     * Output at one moment.
     *
     * @param tokens output tokens that there are
     * @param isDone whether these are all
     * @param isReleased whether the sequence is gone
     */
    record Output(int tokens, boolean isDone, boolean isReleased) {}

    /** Waits for output after the position. */
    Output awaitOutput(int position, long limitNanos) throws InterruptedException {
        mLock.lock();
        try {
            mLastAccessNanos = System.nanoTime();
            long left = limitNanos;
            while (mGeneratedTokens <= position
                    && mState != State.DONE
                    && mState != State.RELEASED
                    && left > 0) {
                left = mProgressed.awaitNanos(left);
            }
            mLastAccessNanos = System.nanoTime();
            return new Output(mGeneratedTokens, mState == State.DONE, mState == State.RELEASED);
        } finally {
            mLock.unlock();
        }
    }

    /** Waits until prefill is over; false when the sequence was released. */
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

    double idleSeconds() {
        return (System.nanoTime() - mLastAccessNanos) / 1e9;
    }
}
