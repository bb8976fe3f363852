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
    private final Condition mChanged = mLock.newCondition();
    final String mKey;
    final InstanceId mOwner;
    final int mPriority;
    final long mArrival;
    final long mMemoryTokens;
    final int mSeed;
    final int mFirstPosition;
    final int mOutputTokens;
    double mPrefillLeft;
    boolean mHasMemory;
    private State mState = State.WAITING;
    private int mGenerated;
    private long mTouchedNanos = System.nanoTime();

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
        mPrefillLeft = prefillTokens;
        mSeed = seed;
        mFirstPosition = firstPosition;
        mOutputTokens = outputTokens;
        mGenerated = firstPosition;
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
                mChanged.signalAll();
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Generates the next output token. */
    void generate() {
        mLock.lock();
        try {
            mGenerated++;
            if (mGenerated >= mOutputTokens) {
                mState = State.DONE;
            }
            mChanged.signalAll();
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
            mTouchedNanos = System.nanoTime();
            long left = limitNanos;
            while (mGenerated <= position
                    && mState != State.DONE
                    && mState != State.RELEASED
                    && left > 0) {
                left = mChanged.awaitNanos(left);
            }
            mTouchedNanos = System.nanoTime();
            return new Output(mGenerated, mState == State.DONE, mState == State.RELEASED);
        } finally {
            mLock.unlock();
        }
    }

    /** Waits until prefill is over; false when the sequence was released. */
    boolean awaitPrefilled() throws InterruptedException {
        mLock.lock();
        try {
            while (mState == State.WAITING || mState == State.PREFILL) {
                if (!mChanged.await(10, TimeUnit.MINUTES)) {
                    return false;
                }
            }
            return mState != State.RELEASED;
        } finally {
            mLock.unlock();
        }
    }

    double ageSeconds() {
        return (System.nanoTime() - mTouchedNanos) / 1e9;
    }
}
