package org.rattanport.decisions.lifecycle;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Counts the requests in flight, and refuses new ones once the instance stops accepting them. */
public final class InFlightRequests {
    private final TimeSource mTime;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mCountChanged = mLock.newCondition();
    private int mCount;
    private boolean mIsClosed;

    public InFlightRequests(TimeSource time) {
        mTime = time;
    }

    /**
     * Registers a request; closing the result ends it.
     *
     * @throws RattanportException {@code STOPPING} with verdict {@code NOT_RUN} when the instance
     *     no longer accepts requests
     */
    public AutoCloseable begin() {
        mLock.lock();
        try {
            if (mIsClosed) {
                throw new RattanportException(ErrorCode.STOPPING, "this instance is stopping");
            }
            mCount++;
            return this::end;
        } finally {
            mLock.unlock();
        }
    }

    public int count() {
        mLock.lock();
        try {
            return mCount;
        } finally {
            mLock.unlock();
        }
    }

    /** Refuses new requests from now on. */
    public void refuseNew() {
        mLock.lock();
        try {
            mIsClosed = true;
        } finally {
            mLock.unlock();
        }
    }

    /** Waits until no request is in flight; returns false when the deadline passes first. */
    public boolean awaitEmpty(Deadline deadline) {
        mLock.lock();
        try {
            while (mCount > 0) {
                long nanos = deadline.remaining(mTime).toNanos();
                if (nanos <= 0) {
                    return false;
                }
                mCountChanged.await(nanos, TimeUnit.NANOSECONDS);
            }
            return true;
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        } finally {
            mLock.unlock();
        }
    }

    private void end() {
        mLock.lock();
        try {
            mCount--;
            mCountChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }
}
